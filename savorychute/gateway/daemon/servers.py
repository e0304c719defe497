"""The listening sockets of a gateway."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.gateway.daemon.memory_shares import (
    BUFFER_MEMORY_SHARE,
    CONNECTION_BYTES,
    CONNECTIONS_MEMORY_SHARE,
    HEADS_MEMORY_SHARE,
    share_of_memory,
)
from savorychute.http.connection_budget import ConnectionBudget
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen
from savorychute.settings.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.clock import Clock
    from savorychute.gateway.daemon.early_listeners import EarlyListeners
    from savorychute.gateway.daemon.gateway_host import GatewayHost
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.http.server_exchange import ServerExchange


# Connections to the other ports that are accepted when callers have all places.
RESERVED_PLACES = 16


def make_budget(settings: GatewaySettings, clock: Clock) -> ConnectionBudget:
    """Return what the connections to all ports of a gateway may hold together.

    :param settings: state the memory limit.
    :param clock: monotonic clock.
    """
    return ConnectionBudget(_make_limits(settings), clock.now_ms)


def _make_limits(settings: GatewaySettings) -> HttpLimits:
    buffer_bytes = share_of_memory(BUFFER_MEMORY_SHARE, settings.memory_mb)
    connections_bytes = share_of_memory(CONNECTIONS_MEMORY_SHARE, settings.memory_mb)
    return HttpLimits(
        connections=max(1, connections_bytes // CONNECTION_BYTES),
        buffered_bytes=buffer_bytes,
        heads_bytes=share_of_memory(HEADS_MEMORY_SHARE, settings.memory_mb),
        unread_bytes=buffer_bytes,
    )


@asynccontextmanager
async def open_servers(
    settings: GatewaySettings,
    host: GatewayHost,
    clock: Clock,
    listeners: EarlyListeners,
    budget: ConnectionBudget,
) -> AsyncIterator[None]:
    """Listen for callers, for the platform and for metrics until the block ends.

    :param settings: state the addresses and the memory limit.
    :param host: handles the requests.
    :param clock: the clock for timeouts of idle connections.
    :param listeners: sockets that are listening already, by address.
    :param budget: what all connections may hold together.
    """
    limits = _make_limits(settings)
    metrics_address = NetworkAddress(
        settings.caller_address.host, settings.metrics_port
    )
    caller_server = HttpServer(limits, clock, host.handle_request, budget)
    caller_server.on_slow_caller = host.telemetry.slow_caller_ended

    def make_server(handle: Callable[[ServerExchange], None]) -> HttpServer:
        return HttpServer(limits, clock, handle, budget, RESERVED_PLACES)

    async with AsyncExitStack() as stack:
        for address, server in (
            (settings.readiness_address, make_server(host.handle_readiness)),
            (settings.discovery_address, make_server(host.handle_discovery)),
            (metrics_address, make_server(host.handle_metrics)),
            (settings.caller_address, caller_server),
        ):
            listener = listeners.get(str(address))
            await stack.enter_async_context(
                listen(server, address.host, address.port, listener=listener)
            )
        host.attach_caller_server(caller_server)
        yield
