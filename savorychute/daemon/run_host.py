"""A daemon inside a running loop."""

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
    """Open all sockets of one instance and drive it until the block ends.

    Any number of them runs in one loop.  The instance is made after the
    sockets, because its address names their ports.

    :param settings: where to listen and whom to call.
    :param make_instance: makes the instance for its address.
    :param clock: the time that the instance is told.
    :raises SettingsError: if a port is taken or a file is no good.
    """
    clock = clock or SystemClock()
    incarnation = time.time_ns() // NS_PER_MS
    codec = PeerCodec(settings.instance, incarnation, settings.peer_keys)
    bind_host = settings.bind_host or settings.host
    waiting = _WaitingRequests()
    server = HttpServer(settings.http, clock, waiting.take)
    tls = _load_tls(settings)
    async with AsyncExitStack() as stack:
        pool = stack.enter_context(open_pool(settings.pool, clock))
        with _naming(f'peer_port {settings.peer_port} of {bind_host}'):
            link = await stack.enter_async_context(
                open_peer_link(codec, bind_host, settings.peer_port)
            )
        with _naming(f'caller_port {settings.caller_port} of {bind_host}'):
            context = tls.listening if tls else None
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
        waiting.pass_to(CallerApi(host).take)
        host.start()
        stack.callback(host.stop)
        yield host


class _WaitingRequests:
    """Holds what arrives between the bind and the first tick."""

    def __init__(self) -> None:
        self._take: Callable[[ServerExchange], None] | None = None
        self._early: list[ServerExchange] = []

    def take(self, exchange: ServerExchange) -> None:
        """Pass a request on, or hold it for a moment."""
        if self._take is None:
            self._early.append(exchange)
            return
        self._take(exchange)

    def pass_to(self, take: Callable[[ServerExchange], None]) -> None:
        """Pass requests on from now on."""
        self._take = take
        for exchange in self._early:
            take(exchange)
        self._early.clear()


def _load_tls(settings: HostSettings) -> TlsKeys | None:
    if not settings.tls_certificate_file:
        return None
    with _naming(f'tls_certificate_file {settings.tls_certificate_file}'):
        return TlsKeys(settings.tls_certificate_file, settings.tls_key_file)


@contextmanager
def _naming(setting: str) -> Iterator[None]:
    """Turn what the system refuses into a fault of the setting behind it."""
    try:
        yield
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else type(error).__name__
        raise SettingsError([f'{setting}: {reason}']) from error
