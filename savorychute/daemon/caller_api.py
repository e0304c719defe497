"""The HTTP API for callers and operators."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, TypedDict
from urllib.parse import unquote

import msgspec

from savorychute.daemon.request_reader import (
    CHAT_PATH,
    SERVICES_PREFIX,
    read_chat,
    read_service_call,
    read_token,
)
from savorychute.errors import RequestError
from savorychute.http.error_response import (
    JSON_TYPE,
    classify_ran,
    encode_error,
    error_headers,
)
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.daemon.host import DaemonHost
    from savorychute.http.server_exchange import ServerExchange

OPERATOR_PREFIX = '/v1/operator/'
TEXT_TYPE = 'text/plain; charset=utf-8'


class InstanceDocument(TypedDict):
    """One address in a discovery response."""

    host: str
    port: int
    failure_domain: str


class InstancesDocument(TypedDict):
    """A discovery response."""

    instances: list[InstanceDocument]
    lifetime_ms: int


class KeyDocument(TypedDict):
    """An issued request key."""

    key: str


class CallerApi:
    """Routes each HTTP request to its handler.

    :param host: the host of the instance.
    """

    def __init__(self, host: DaemonHost) -> None:
        self._host = host
        self._request_count = 0
        self._paths: dict[str, tuple[str, Callable[[ServerExchange, str], None]]] = {
            CHAT_PATH: ('POST', self._handle_chat),
            '/v1/instances': ('GET', self._discover),
            '/v1/keys': ('POST', self._issue_key),
            '/healthz': ('GET', self._show_health),
            '/readyz': ('GET', self._show_readiness),
            '/metrics': ('GET', self._show_metrics),
        }

    def handle(self, exchange: ServerExchange) -> None:
        """Respond to a request, or deliver it to the instance.

        :param exchange: the request on its connection.
        """
        request_id = self._make_request_id()
        try:
            self._route(exchange, request_id)
        except RequestError as error:
            refuse(exchange, request_id, error.code, error.message)

    def _route(self, exchange: ServerExchange, request_id: str) -> None:
        request = exchange.request
        path = request.target.partition('?')[0]
        if path.startswith(SERVICES_PREFIX):
            call = read_service_call(request_id, request)
            self._host.responses.handle(exchange, call)
            return
        if path.startswith(OPERATOR_PREFIX):
            self._require_method(request.method, 'POST')
            verb = unquote(path[len(OPERATOR_PREFIX) :])
            token = read_token(request)
            self._host.operators.handle(exchange, request_id, token, verb)
            return
        if path not in self._paths:
            raise RequestError(ResultCode.NOT_FOUND, f'no path {path!r}')
        method, handler = self._paths[path]
        self._require_method(request.method, method)
        handler(exchange, request_id)

    def _require_method(self, method: str, expected: str) -> None:
        if method != expected:
            raise RequestError(
                ResultCode.METHOD_NOT_ALLOWED, f'{method} is not {expected}'
            )

    def _handle_chat(self, exchange: ServerExchange, request_id: str) -> None:
        request = read_chat(request_id, exchange.request)
        self._host.responses.handle(exchange, request)

    def _discover(self, exchange: ServerExchange, request_id: str) -> None:
        discovery = self._host.instance.discover(read_token(exchange.request))
        document: InstancesDocument = {
            'instances': [
                {
                    'host': member.host,
                    'port': member.caller_port,
                    'failure_domain': member.failure_domain,
                }
                for member in discovery.addresses
            ],
            'lifetime_ms': discovery.lifetime_ms,
        }
        _respond_json(exchange, request_id, msgspec.json.encode(document))

    def _issue_key(self, exchange: ServerExchange, request_id: str) -> None:
        token = read_token(exchange.request)
        key = self._host.instance.issue_key(token, self._host.clock.now_ms())
        document: KeyDocument = {'key': key}
        _respond_json(exchange, request_id, msgspec.json.encode(document))

    def _show_health(self, exchange: ServerExchange, request_id: str) -> None:  # noqa: ARG002
        exchange.respond(HTTPStatus.OK, [('content-type', TEXT_TYPE)], b'ok\n')

    def _show_readiness(self, exchange: ServerExchange, request_id: str) -> None:
        if self._host.leaving:
            code = ResultCode.SHUTTING_DOWN
            refuse(exchange, request_id, code, code.meaning)
        elif not self._host.instance.ready:
            code = ResultCode.NOT_READY
            refuse(exchange, request_id, code, code.meaning)
        else:
            exchange.respond(HTTPStatus.OK, [('content-type', TEXT_TYPE)], b'ready\n')

    def _show_metrics(self, exchange: ServerExchange, request_id: str) -> None:
        text = self._host.render_metrics(exchange.request.header('accept'))
        if text is None:
            refuse(exchange, request_id, ResultCode.NOT_FOUND, 'no metrics are kept')
            return
        exchange.respond(
            HTTPStatus.OK, [('content-type', text.content_type)], text.body
        )

    def _make_request_id(self) -> str:
        """Return an id that is unique over all instances and their incarnations."""
        self._request_count += 1
        address = self._host.address
        return f'{address.instance}-{address.incarnation:x}-{self._request_count:x}'


def refuse(
    exchange: ServerExchange, request_id: str, code: ResultCode, message: str
) -> None:
    """Respond with an error to a request that was not delivered to the instance.

    :param exchange: the request.
    :param request_id: the id of the request.
    :param code: the reason.
    :param message: details of this error.
    """
    ran = classify_ran(name for name, _ in exchange.request.headers)
    headers = error_headers(code, ran)
    headers.append(('x-request-id', request_id))
    headers.append(('x-attempt-id', ''))
    headers.append(('x-endpoint', ''))
    body = encode_error(code, ran, message)
    exchange.respond(code.status, headers, body)


def _respond_json(exchange: ServerExchange, request_id: str, body: bytes) -> None:
    headers = [
        ('content-type', JSON_TYPE),
        ('x-request-id', request_id),
        ('x-result-code', '0'),
    ]
    exchange.respond(HTTPStatus.OK, headers, body)
