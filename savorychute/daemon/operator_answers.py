"""Operators' commands over HTTP."""

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


class OperatorAnswers:
    """Commands that wait for their reply.

    :param host: gets the commands.
    """

    def __init__(self, host: InputPort) -> None:
        self._host = host
        self._exchanges: dict[str, ServerExchange] = {}

    def take(
        self, exchange: ServerExchange, command_id: str, token: str, verb: str
    ) -> None:
        """Give a command to the instance.

        :param exchange: the operator's request.
        :param command_id: unique.
        :param token: the operator's bearer token.
        :param verb: what to do; the body has its arguments.
        """
        self._exchanges[command_id] = exchange
        exchange.on_left = lambda: self._forget(command_id)
        self._host.deliver(
            OperatorCommand(command_id, token, verb, exchange.request.body)
        )

    def reply(self, reply: OperatorReply) -> None:
        """Answer a command.

        :param reply: the document, or the reason of a refusal.
        """
        exchange = self._exchanges.pop(reply.command_id, None)
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

    def _forget(self, command_id: str) -> None:
        self._exchanges.pop(command_id, None)
