"""The client that sends operator commands over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from savorychute.clock import SystemClock
from savorychute.cmd.connection_arguments import (
    read_instances,
    read_tls,
    read_token,
)
from savorychute.cmd.operator_verbs import OPERATOR_PATH, RESULT_CODE_HEADER
from savorychute.http.call_failure import CallFailure
from savorychute.http.client_pool import PoolSettings, ServerAddress, open_pool
from savorychute.http.connector import DirectConnector
from savorychute.http.http_request import HttpRequest
from savorychute.http.timed_call import fetch
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import ssl
    from argparse import Namespace

    from savorychute.http.http_response import HttpResponse
    from savorychute.settings.network_address import NetworkAddress

TOKEN_VARIABLE = 'SAVORYCHUTE_OPERATOR_TOKEN'
DEFAULT_TIMEOUT_MS = 15_000
MIN_REFUSAL_STATUS = 300
CODES = {code.number: code for code in ResultCode}


class NotSentError(Exception):
    """No connection was established, so no byte of the command was sent."""


class NoReplyError(Exception):
    """A command was sent, but no complete response was received."""


class OperatorResponse(NamedTuple):
    """The response of an instance to a command."""

    code: ResultCode
    document: dict[str, Any]


class OperatorClient(NamedTuple):
    """Sends operator commands to one of several instances."""

    addresses: tuple[NetworkAddress, ...]
    token: str
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    tls: ssl.SSLContext | None = None

    def call(self, verb: str, arguments: Any) -> OperatorResponse:
        """Send one command to the first instance that accepts a connection.

        Another instance is tried only if nothing has been sent, so that one
        command never reaches two instances.

        :param verb: a verb of :mod:`savorychute.cmd.operator_verbs`.
        :param arguments: the verb's document.
        :raises NotSentError: if no instance accepted a connection.
        :raises NoReplyError: if the command was sent but got no response.
        """
        return asyncio.run(self.send(verb, arguments))

    async def send(self, verb: str, arguments: Any) -> OperatorResponse:
        """Do the same as :meth:`call` inside a running event loop."""
        headers = (
            ('content-type', 'application/json'),
            ('authorization', f'Bearer {self.token}'),
        )
        body = msgspec.json.encode(arguments)
        request = HttpRequest('POST', OPERATOR_PATH + verb, headers, body)
        return await self._call_first_reachable(request)

    async def _call_first_reachable(self, request: HttpRequest) -> OperatorResponse:
        pool_settings = PoolSettings(connect_timeout_ms=self.timeout_ms)
        reasons: list[str] = []
        connector = DirectConnector(self.tls)
        with open_pool(pool_settings, SystemClock(), connector) as pool:
            for address in self.addresses:
                server = ServerAddress(*address)
                result = await fetch(pool, server, request, self.timeout_ms)
                if not isinstance(result, CallFailure):
                    return _make_response(result)
                if result.sent:
                    raise NoReplyError(f'{address}: {result.reason}')
                reasons.append(f'{address}: {result.reason}')
        raise NotSentError('; '.join(reasons))


def make_client(arguments: Namespace) -> OperatorClient:
    """Return a client from parsed arguments and the environment.

    :raises ValueError: if an address is not ``host:port``.
    :raises OSError: if a file cannot be read.
    """
    return OperatorClient(
        read_instances(arguments),
        read_token(arguments, TOKEN_VARIABLE),
        arguments.timeout_ms,
        read_tls(arguments),
    )


def _make_response(http_response: HttpResponse) -> OperatorResponse:
    number = http_response.headers.get(RESULT_CODE_HEADER, '')
    return OperatorResponse(
        _find_code(number, http_response.status), _read_document(http_response.body)
    )


def _find_code(number: str, status: int) -> ResultCode:
    if number.isascii() and number.isdigit() and int(number) in CODES:
        return CODES[int(number)]
    return ResultCode.OK if status < MIN_REFUSAL_STATUS else ResultCode.BAD_FIELD


def _read_document(body: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        document = body.decode('utf-8', 'replace')
    return document if isinstance(document, dict) else {'answer': document}
