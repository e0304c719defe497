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
# A lost path is forgotten when no tunnel has reached the endpoint for this long.
FORGET_MS = 10_000


class PathPlan(NamedTuple):
    """How to open a connection.

    ``tries_direct`` is false while a direct connection is not worth trying.
    ``tunnel_delay_ms`` is the head start that a direct connection gets.
    """

    tries_direct: bool
    tunnel_delay_ms: int


class _LostPath:
    """A path that was lost; ``hung`` counts the connections that hung."""

    __slots__ = ('bypassed_ms', 'hung', 'retry_at_ms', 'retry_delay_ms', 'since_ms')

    def __init__(self, now_ms: int) -> None:
        self.since_ms = now_ms
        self.bypassed_ms = now_ms
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
        # Number of paths that were lost since the last direct connection.
        self._lost_in_a_row = 0
        # Called with whether all paths are lost, when that changes.
        self.on_change: Callable[[bool], None] | None = None
        # Called with an endpoint to which direct connections start to hang.
        self.on_silent: Callable[[ServerAddress], None] | None = None

    @property
    def has_lost(self) -> bool:
        """Whether any path is lost."""
        return bool(self._lost)

    @property
    def is_isolated(self) -> bool:
        """Whether this instance seems to have lost the paths to all endpoints."""
        return self._lost_in_a_row >= MIN_LOST_PATHS

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
        return path is not None and self._hangs(path)

    def plan(self, address: ServerAddress, now_ms: int) -> PathPlan:
        """Return how to open a connection to an endpoint.

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
        self._forget(now_ms - FORGET_MS)
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
        self._lost.pop(address, None)
        self._end_isolation()
        if not was_isolated:
            return
        for path in self._lost.values():
            path.retry_at_ms = now_ms
            path.retry_delay_ms = MIN_RETRY_MS

    def record_bypassed(
        self, address: ServerAddress, now_ms: int, *, hung: bool
    ) -> None:
        """Record that a tunnel reached an endpoint and a direct connection did not.

        :param address: the endpoint.
        :param now_ms: the current time.
        :param hung: whether the direct connection hangs instead of failing.
        """
        was_isolated = self.is_isolated
        silent_before = self._find_silent()
        path = self._lost.get(address)
        if path is None:
            path = self._lost[address] = _LostPath(now_ms)
            self._lost_in_a_row += 1
        path.bypassed_ms = now_ms
        path.hung += hung
        if self.is_isolated and not was_isolated and self.on_change is not None:
            self.on_change(True)
        if self.on_silent is not None:
            for silent in self._find_silent() - silent_before:
                self.on_silent(silent)

    def _hangs(self, path: _LostPath) -> bool:
        return path.hung >= (1 if self.is_isolated else MIN_HUNG)

    def _find_silent(self) -> set[ServerAddress]:
        return {address for address, path in self._lost.items() if self._hangs(path)}

    def _forget(self, before_ms: int) -> None:
        old = [
            address
            for address, path in self._lost.items()
            if path.bypassed_ms < before_ms
        ]
        for address in old:
            del self._lost[address]
        if old and not self._lost:
            # Nothing shows any more that others reach what this instance does not.
            self._end_isolation()

    def _end_isolation(self) -> None:
        was_isolated = self.is_isolated
        self._lost_in_a_row = 0
        if was_isolated and self.on_change is not None:
            self.on_change(False)
