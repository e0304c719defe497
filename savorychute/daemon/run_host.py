"""Runs a daemon inside a running event loop."""

from __future__ import annotations

import os
import time
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from typing import TYPE_CHECKING

from savorychute.clock import NS_PER_MS, SystemClock
from savorychute.daemon.caller_api import CallerApi
from savorychute.daemon.host import DaemonHost
from savorychute.daemon.peer_link import open_peer_link
from savorychute.daemon.tls import TlsKeys
from savorychute.errors import SettingsError
from savorychute.http.client_pool import open_pool
from savorychute.http.http_server import HttpServer, listen
from savorychute.member_address import MemberAddress
from savorychute.wire.peer_codec import PeerCodec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from savorychute.clock import Clock
    from savorychute.daemon.host_settings import HostSettings
    from savorychute.daemon.hosted_instance import HostedInstance
    from savorychute.http.server_exchange import ServerExchange


@asynccontextmanager
async def run_host(
    settings: HostSettings,
    make_instance: Callable[[MemberAddress], HostedInstance],
    clock: Clock | None = None,
) -> AsyncIterator[DaemonHost]:
    """Open all sockets of one instance and run it until the block ends.

    Any number of instances can run in one event loop.  The instance is created
    after the sockets, because its address contains their ports.

    :param settings: the settings of the host.
    :param make_instance: creates the instance for its address.
    :param clock: the clock that the instance uses.
    :raises SettingsError: if a port is in use or a file cannot be loaded.
    """
    clock = clock or SystemClock()
    incarnation = time.time_ns() // NS_PER_MS
    codec = PeerCodec(settings.instance, incarnation, settings.peer_keys)
    bind_host = settings.bind_host or settings.host
    early_requests = _EarlyRequests()
    server = HttpServer(settings.http, clock, early_requests.handle)
    tls = _load_tls(settings)
    async with AsyncExitStack() as stack:
        pool = stack.enter_context(open_pool(settings.pool, clock))
        with _convert_errors(f'peer_port {settings.peer_port} of {bind_host}'):
            link = await stack.enter_async_context(
                open_peer_link(codec, bind_host, settings.peer_port)
            )
        with _convert_errors(f'caller_port {settings.caller_port} of {bind_host}'):
            context = tls.listening_context if tls else None
            await stack.enter_async_context(
                listen(server, bind_host, settings.caller_port, context)
            )
        address = MemberAddress(
            instance=settings.instance,
            incarnation=incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            host=settings.host,
            caller_port=server.port,
            peer_port=link.port,
        )
        host = DaemonHost(
            make_instance(address), address, settings, clock, pool, link, server
        )
        host.tls = tls
        link.on_input = host.deliver
        early_requests.forward_to(CallerApi(host).handle)
        host.start()
        stack.callback(host.stop)
        yield host


class _EarlyRequests:
    """Queues requests that arrive between the bind and the first tick."""

    def __init__(self) -> None:
        self._handler: Callable[[ServerExchange], None] | None = None
        self._queued: list[ServerExchange] = []

    def handle(self, exchange: ServerExchange) -> None:
        """Forward a request, or queue it until there is a handler."""
        if self._handler is None:
            self._queued.append(exchange)
            return
        self._handler(exchange)

    def forward_to(self, handler: Callable[[ServerExchange], None]) -> None:
        """Forward the queued requests and all later ones to *handler*."""
        self._handler = handler
        for exchange in self._queued:
            handler(exchange)
        self._queued.clear()


def _load_tls(settings: HostSettings) -> TlsKeys | None:
    if not settings.tls_certificate_file:
        return None
    with _convert_errors(f'tls_certificate_file {settings.tls_certificate_file}'):
        return TlsKeys(settings.tls_certificate_file, settings.tls_key_file)


@contextmanager
def _convert_errors(setting: str) -> Iterator[None]:
    """Convert an OSError to an error of the setting that caused it."""
    try:
        yield
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else type(error).__name__
        raise SettingsError([f'{setting}: {reason}']) from error
