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
# A connection that was opened within this time shows that there is a path.
RECENT_MS = 2_000
# A path that was lost for this long is forgotten; its endpoint may be gone.
FORGET_MS = 60_000


class PathPlan(NamedTuple):
    """When each way to an endpoint is tried, in ms from now; None for not at all."""

    direct_delay_ms: int | None
    tunnel_delay_ms: int


class _LostPath:
    """A path that was lost; ``silent`` if connections hang instead of failing."""

    __slots__ = ('retry_at_ms', 'retry_delay_ms', 'silent', 'since_ms')

    def __init__(self, silent: bool, now_ms: int) -> None:
        self.since_ms = now_ms
        self.silent = silent
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

    def is_connected(self, now_ms: int) -> bool:
        """Return whether any endpoint was reached directly a short time ago.

        :param now_ms: the current time.
        """
        connected_ms = self._connected_ms
        return connected_ms is not None and now_ms - connected_ms <= RECENT_MS

    def is_lost(self, address: ServerAddress) -> bool:
        """Return whether an endpoint is reached only through other instances.

        :param address: the endpoint.
        """
        return address in self._lost

    def is_silent(self, address: ServerAddress) -> bool:
        """Return whether direct connections to an endpoint hang.

        :param address: the endpoint.
        """
        path = self._lost.get(address)
        return path is not None and path.silent

    def plan(self, address: ServerAddress, now_ms: int) -> PathPlan:
        """Return when to try which way for a new connection.

        A lost path is retried beside a tunnel, so that no request waits for it.

        :param address: the endpoint.
        :param now_ms: the current time.
        """
        path = self._lost.get(address)
        if path is None:
            return PathPlan(0, 0 if self.is_isolated else RACE_DELAY_MS)
        if now_ms < path.retry_at_ms:
            return PathPlan(None, 0)
        path.retry_at_ms = now_ms + path.retry_delay_ms
        path.retry_delay_ms = min(2 * path.retry_delay_ms, MAX_RETRY_MS)
        return PathPlan(0, 0)

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
        self, address: ServerAddress, now_ms: int, *, silent: bool
    ) -> None:
        """Record that a tunnel reached an endpoint and a direct connection did not.

        :param address: the endpoint.
        :param now_ms: the current time.
        :param silent: whether the direct connection hangs instead of failing.
        """
        path = self._lost.get(address)
        if path is not None:
            path.silent = path.silent or silent
            return
        self._forget(now_ms - FORGET_MS)
        self._lost[address] = _LostPath(silent, now_ms)
        self._report_change()

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
