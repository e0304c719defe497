"""Commands of operators over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.http.error_response import JSON_TYPE, encode_error, error_headers
from savorychute.inputs import OperatorCommand
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import OperatorReply
    from savorychute.daemon.host_port import InputPort
    from savorychute.http.server_exchange import ServerExchange


class OperatorHandler:
    """Handles commands and sends their replies.

    :param host: receives the commands for the instance.
    """

    def __init__(self, host: InputPort) -> None:
        self._host = host
        self._pending: dict[str, ServerExchange] = {}

    def handle(
        self, exchange: ServerExchange, command_id: str, token: str, verb: str
    ) -> None:
        """Deliver a command to the instance.

        :param exchange: the operator's request.
        :param command_id: the unique id of the command.
        :param token: the operator's bearer token.
        :param verb: the command's name; the body has its arguments.
        """
        self._pending[command_id] = exchange
        exchange.on_left = lambda: self._remove(command_id)
        self._host.deliver(
            OperatorCommand(command_id, token, verb, exchange.request.body)
        )

    def reply(self, reply: OperatorReply) -> None:
        """Send the reply to a command.

        :param reply: the document, or the reason for a refusal.
        """
        exchange = self._pending.pop(reply.command_id, None)
        if exchange is None:
            return
        code = reply.code
        body = reply.document
        if code is ResultCode.OK:
            headers = [('content-type', JSON_TYPE), ('x-result-code', '0')]
        else:
            headers = error_headers(code, Ran.NOT_RUN)
            body = body or encode_error(code, Ran.NOT_RUN, code.meaning)
        headers.append(('x-request-id', reply.command_id))
        exchange.respond(code.status, headers, body)

    def _remove(self, command_id: str) -> None:
        self._pending.pop(command_id, None)
