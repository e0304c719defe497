"""A fake instance and fake servers for tests of the daemon."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import h11

from savorychute.actions import (
    CancelAttempt,
    FinishResponse,
    RefuseRequest,
    SendChunk,
    StartAttempt,
    StartResponse,
)
from savorychute.clock import SystemClock
from savorychute.daemon.host_settings import HostSettings
from savorychute.daemon.run_host import run_host
from savorychute.errors import RequestError
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_request import encode_headers
from savorychute.http.http_server import HttpServer, listen
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptStarted,
    CallerLeft,
    CallerRequest,
)
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.daemon.host import DaemonHost
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.member_address import MemberAddress

TOKEN = 'secret'
CLOSED_ADDRESS = ServerAddress('127.0.0.1', 9)
KEYS = PeerKeys(PeerKey(1, b'0123456789abcdef'))


class FakeDiscovery(NamedTuple):
    """The discovery response of a fake instance."""

    addresses: tuple[MemberAddress, ...]
    lifetime_ms: int


class ForwardingInstance:
    """Sends each request to one endpoint and forwards the response."""

    def __init__(self, address: MemberAddress, endpoint: ServerAddress) -> None:
        self.address = address
        self.endpoint = endpoint
        self.inputs: list[object] = []
        self.next_tick_ms = 0
        self.ready = True
        self.requests: dict[str, CallerRequest] = {}
        self.cancel_when_sent = False
        self.timeout_ms = 5_000
        self.heads: dict[str, AttemptStarted] = {}

    def tick(self, now_ms: int) -> list[object]:
        """Do nothing."""
        self.next_tick_ms = now_ms + 1_000
        return []

    def discover(self, token: str) -> FakeDiscovery:
        """Return this instance's address."""
        if token != TOKEN:
            raise RequestError(ResultCode.UNAUTHENTICATED, 'nobody')
        return FakeDiscovery((self.address,), 1_000)

    def issue_key(self, token: str, now_ms: int) -> str:
        """Return a key."""
        self.discover(token)
        return f'key-{now_ms}'

    def deliver(self, new_input: object, now_ms: int) -> list[object]:  # noqa: ARG002
        """Forward requests to the endpoint and its responses to the caller."""
        self.inputs.append(new_input)
        match new_input:
            case CallerRequest():
                return self._start_attempt(new_input)
            case CallerLeft():
                return [CancelAttempt(f'a-{new_input.request_id}')]
            case AttemptStarted():
                self.heads[new_input.attempt_id] = new_input
                return []
            case AttemptChunk():
                request_id = new_input.attempt_id[2:]
                return [
                    *self._start_response(new_input.attempt_id),
                    SendChunk(
                        request_id,
                        new_input.offset,
                        new_input.data,
                        new_input.token_count,
                    ),
                ]
            case AttemptEnded():
                finish = FinishResponse(new_input.attempt_id[2:])
                return [*self._start_response(new_input.attempt_id), finish]
            case AttemptFailed():
                return [self._fail(new_input)]
        if self.cancel_when_sent:
            return [CancelAttempt(new_input.attempt_id)]
        return []

    def inputs_of(self, kind: type) -> list[object]:
        """Return the inputs of one kind."""
        return [each for each in self.inputs if isinstance(each, kind)]

    def _start_attempt(self, request: CallerRequest) -> list[object]:
        self.requests[request.request_id] = request
        if request.token != TOKEN:
            code = ResultCode.UNAUTHENTICATED
            return [RefuseRequest(request.request_id, code, Ran.NOT_RUN, 'nobody')]
        dialect = 'openai-engine' if request.model else 'plain-service'
        return [
            StartAttempt(
                attempt_id=f'a-{request.request_id}',
                request_id=request.request_id,
                endpoint='engine',
                dialect=dialect,
                host=self.endpoint.host,
                port=self.endpoint.port,
                method=request.method,
                path=request.path,
                body=request.body,
                model=request.model,
                priority=3,
                stream=request.stream,
                stream_id=f's-{request.request_id}',
                resume_offset=-1,
                timeout_ms=self.timeout_ms,
            )
        ]

    def _start_response(self, attempt_id: str) -> list[StartResponse]:
        """Send the head with the first part, once."""
        started = self.heads.pop(attempt_id, None)
        if started is None:
            return []
        return [
            StartResponse(
                attempt_id[2:],
                started.status,
                attempt_id,
                'engine',
                'handle',
                started.content_type,
            )
        ]

    def _fail(self, failed: AttemptFailed) -> object:
        request_id = failed.attempt_id[2:]
        code = ResultCode.ENDPOINT_FAILED
        ran = Ran.UNKNOWN if failed.sent and not failed.refused else Ran.NOT_RUN
        if any(
            each.attempt_id == failed.attempt_id
            for each in self.inputs_of(AttemptChunk)
        ):
            return FinishResponse(request_id, code, ran, failed.reason)
        return RefuseRequest(request_id, code, ran, failed.reason, 1_500)


class FakeServer:
    """A server that responds to each exchange by a given function."""

    def __init__(self, respond: Callable[[ServerExchange], None]) -> None:
        self.exchanges: list[ServerExchange] = []
        self._respond = respond

    def handle(self, exchange: ServerExchange) -> None:
        """Record an exchange and respond to it."""
        self.exchanges.append(exchange)
        self._respond(exchange)

    @property
    def targets(self) -> list[str]:
        """Return the requested targets."""
        return [exchange.request.target for exchange in self.exchanges]


@asynccontextmanager
async def serve(server: FakeServer) -> AsyncIterator[ServerAddress]:
    http = HttpServer(HttpLimits(), SystemClock(), server.handle)
    async with listen(http, '127.0.0.1', 0):
        yield ServerAddress('127.0.0.1', http.port)


@asynccontextmanager
async def run_forwarding(
    endpoint: ServerAddress = CLOSED_ADDRESS, **changes: object
) -> AsyncIterator[tuple[DaemonHost, ForwardingInstance]]:
    settings = HostSettings(
        instance='i1',
        region='kerala',
        failure_domain='kochi-hall',
        host='127.0.0.1',
        log_address=CLOSED_ADDRESS,
        list_address=CLOSED_ADDRESS,
        peer_keys=KEYS,
        leave_grace_ms=0,
    )._replace(**changes)
    instances: list[ForwardingInstance] = []

    def make_instance(address: MemberAddress) -> ForwardingInstance:
        instances.append(ForwardingInstance(address, endpoint))
        return instances[0]

    async with run_host(settings, make_instance) as host:
        yield host, instances[0]


class Response(NamedTuple):
    """One response as a caller received it; ``complete`` if its end arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class RawCaller:
    """A caller that writes raw bytes and reads responses with h11."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._http = h11.Connection(h11.CLIENT)

    def write_request(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Write a complete request."""
        fields = {'host': 'x', 'content-length': str(len(body)), **headers}
        pairs = encode_headers(fields.items())
        head = h11.Request(method=method, target=target, headers=pairs)
        data = self._http.send(head) + self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self.writer.write(data)

    async def read_response(self) -> Response:
        """Read until the response or the connection ends."""
        status = 0
        headers: dict[str, str] = {}
        body = b''
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                return Response(status, headers, body, False)
            if event is h11.NEED_DATA:
                try:
                    self._http.receive_data(await self.reader.read(65_536))
                except ConnectionError:
                    return Response(status, headers, body, False)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode(): value.decode('latin-1')
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._http.our_state is h11.DONE is self._http.their_state:
                    self._http.start_next_cycle()
                return Response(status, headers, body, True)
            elif isinstance(event, h11.ConnectionClosed):
                return Response(status, headers, body, False)


@asynccontextmanager
async def call(port: int | None, **options: object) -> AsyncIterator[RawCaller]:
    host = '127.0.0.1' if port else None
    reader, writer = await asyncio.open_connection(host, port, **options)
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.transport.abort()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for *condition*, and fail the test after a timeout of 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)
