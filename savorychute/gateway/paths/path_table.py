"""Which endpoints this instance cannot reach by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.http.client_pool import ServerAddress

# A connection is usually open within a few ms; after this delay a tunnel is tried too.
RACE_DELAY_MS = 100
# Delay before a lost path is tried again; it doubles up to the maximum.
MIN_RETRY_MS = 250
MAX_RETRY_MS = 2_000
# One lost path may be the fault of an endpoint's network; several, without any
# connection since, mean that this instance has lost its own.
MIN_LOST_PATHS = 2
# Connections to an endpoint that must hang until all of its connections are given up.
MIN_HUNG = 2
# A path that was lost for this long is forgotten; its endpoint may be gone.
FORGET_MS = 60_000


class PathPlan(NamedTuple):
    """How to open a connection.

    ``tries_direct`` is false while a direct connection is not worth trying.
    ``tunnel_delay_ms`` is the head start that a direct connection gets.
    """

    tries_direct: bool
    tunnel_delay_ms: int


class _LostPath:
    """A path that was lost; ``hung`` counts the connections that hung."""

    __slots__ = ('hung', 'retry_at_ms', 'retry_delay_ms', 'since_ms')

    def __init__(self, now_ms: int) -> None:
        self.since_ms = now_ms
        self.hung = 0
        self.retry_delay_ms = MIN_RETRY_MS
        self.retry_at_ms = now_ms + MIN_RETRY_MS


class PathTable:
    """Tells a lost path from a lost endpoint.

    A direct path counts as lost only when a tunnel reached the endpoint and a direct
    connection did not.  An endpoint that nobody reaches is judged by its health instead.
    """

    def __init__(self) -> None:
        self._lost: dict[ServerAddress, _LostPath] = {}
        self._connected_ms: int | None = None
        # Called with whether all paths are lost, when that changes.
        self.on_change: Callable[[bool], None] | None = None
        # Called with an endpoint to which direct connections start to hang.
        self.on_silent: Callable[[ServerAddress], None] | None = None
        self._was_isolated = False

    @property
    def is_isolated(self) -> bool:
        """Whether this instance seems to have lost the paths to all endpoints."""
        connected_ms = self._connected_ms
        lost = sum(
            connected_ms is None or path.since_ms >= connected_ms
            for path in self._lost.values()
        )
        return lost >= MIN_LOST_PATHS

    def is_lost(self, address: ServerAddress) -> bool:
        """Return whether an endpoint is reached only through other instances.

        :param address: the endpoint.
        """
        return address in self._lost

    def is_silent(self, address: ServerAddress) -> bool:
        """Return whether direct connections to an endpoint hang.

        One that hangs may be due to a lost packet; open connections still work then.

        :param address: the endpoint.
        """
        path = self._lost.get(address)
        if path is None or not path.hung:
            return False
        return path.hung >= MIN_HUNG or self.is_isolated

    def plan(self, address: ServerAddress, now_ms: int) -> PathPlan:
        """Return when to try which way for a new connection.

        A lost path is retried beside a tunnel, so that no request waits for it.

        :param address: the endpoint.
        :param now_ms: the current time.
        """
        path = self._lost.get(address)
        if path is None:
            return PathPlan(True, 0 if self.is_isolated else RACE_DELAY_MS)
        if now_ms < path.retry_at_ms:
            return PathPlan(False, 0)
        path.retry_at_ms = now_ms + path.retry_delay_ms
        path.retry_delay_ms = min(2 * path.retry_delay_ms, MAX_RETRY_MS)
        return PathPlan(True, 0)

    def find_due_retry(self, now_ms: int) -> ServerAddress | None:
        """Return a lost path that should be tried again, also without a request.

        Requests that reuse tunnels would otherwise never find that the path is back.

        :param now_ms: the current time.
        """
        due = (
            address
            for address, path in self._lost.items()
            if now_ms >= path.retry_at_ms
        )
        return next(due, None)

    def record_connected(self, address: ServerAddress, now_ms: int) -> None:
        """Record that a direct connection was opened.

        :param address: the endpoint.
        :param now_ms: the current time.
        """
        was_isolated = self.is_isolated
        self._connected_ms = now_ms
        self._lost.pop(address, None)
        if was_isolated:
            for path in self._lost.values():
                path.retry_at_ms = now_ms
                path.retry_delay_ms = MIN_RETRY_MS
        self._report_change()

    def record_bypassed(
        self, address: ServerAddress, now_ms: int, *, hung: bool
    ) -> None:
        """Record that a tunnel reached an endpoint and a direct connection did not.

        :param address: the endpoint.
        :param now_ms: the current time.
        :param hung: whether the direct connection hangs instead of failing.
        """
        silent_before = self._silent()
        path = self._lost.get(address)
        if path is None:
            self._forget(now_ms - FORGET_MS)
            path = self._lost[address] = _LostPath(now_ms)
        path.hung += hung
        self._report_change()
        self._report_silent(self._silent() - silent_before)

    def _silent(self) -> set[ServerAddress]:
        return {address for address in self._lost if self.is_silent(address)}

    def _report_silent(self, addresses: set[ServerAddress]) -> None:
        if self.on_silent is not None:
            for address in addresses:
                self.on_silent(address)

    def _forget(self, before_ms: int) -> None:
        old = [
            address for address, path in self._lost.items() if path.since_ms < before_ms
        ]
        for address in old:
            del self._lost[address]

    def _report_change(self) -> None:
        is_isolated = self.is_isolated
        if is_isolated == self._was_isolated:
            return
        self._was_isolated = is_isolated
        if self.on_change is not None:
            self.on_change(is_isolated)
