"""What the connections of a process may hold together, and which of them yield."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.http.budget_share import ConnectionState
from savorychute.http.file_limit import connection_limit_by_files
from savorychute.http.read_turns import ReadTurns
from savorychute.http.slow_caller import SlowCallerReason
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from savorychute.http.budget_share import BudgetedConnection, BudgetShare
    from savorychute.http.http_limits import HttpLimits

KIB = 1024
# What is small may use all of the memory for bodies, or for heads; what is large only a
# share of it, so that a few large requests never keep out all small ones.
SMALL_BODY_BYTES = 64 * KIB
SMALL_HEAD_BYTES = 8 * KIB
LARGE_SHARE = 0.75
# Share of the memory for heads up to which requests may be received ahead.
AHEAD_SHARE = 0.5
# Share of a limit that is freed when connections yield, so that the next one that needs
# some does not lead there again.
YIELD_TARGET_SHARE = 0.9
# Time between two searches for connections that have to yield.
SEARCH_INTERVAL_MS = 50
# Places that are freed at once.
FREED_PLACES = 16
# Connections of a state that are considered as the one that yields.
MAX_CONSIDERED = 8
# Share of the limit on unread data up to which there is room for more.
ROOM_SHARE = 0.25
# The least time after which a caller is known to read slowly.
MIN_WAITED_MS = 1_000


# The states in which a connection is not needed, in the order of yielding.
UNUSED_STATES = (
    ConnectionState.LINGERING,
    ConnectionState.SILENT,
    ConnectionState.IDLE,
)


class ConnectionBudget:
    """Limits the connections of all servers of a process, and what they hold.

    Those that are not in use yield their places to new ones, the oldest first.  Requests
    that hardly arrive yield their places and their memory to others, the largest first;
    they were not run.  Callers that read slowly yield the memory of their responses.

    :param limits: the limits of the process.
    :param now_ms: returns the current time.
    """

    def __init__(self, limits: HttpLimits, now_ms: Callable[[], int]) -> None:
        self._limits = limits
        self.now_ms = now_ms
        self.turns = ReadTurns()
        self.max_connections = min(limits.connections, connection_limit_by_files())
        # Size of the largest permitted body; may change at any time.
        self.max_body_bytes = limits.body_bytes
        self.body_bytes = 0
        self.head_bytes = 0
        # At least the unread data of all callers.
        self._unread_bound = 0
        self._next_search_ms = 0
        self._members: dict[ConnectionState, OrderedDict[BudgetShare, None]] = {
            state: OrderedDict() for state in ConnectionState
        }

    @property
    def connections(self) -> int:
        """Number of connections, without those that have yielded."""
        return sum(map(len, self._members.values()))

    def __iter__(self) -> Iterator[BudgetedConnection]:
        for members in self._members.values():
            for share in tuple(members):
                yield share.connection

    # -- places

    def admit(self, share: BudgetShare, reserved_places: int = 0) -> bool:
        """Give a new connection a place; return false if all are in use.

        It is counted in any case.

        :param share: the share of the connection.
        :param reserved_places: places beyond the limit that it may use.
        """
        self._members[share.state][share] = None
        limit = self.max_connections + reserved_places
        if self.connections <= limit or self._take_unused(share):
            return True
        for other in self._find_overdue(FREED_PLACES):
            other.connection.refuse_unfinished(ResultCode.CONNECTIONS_EXHAUSTED)
        return self._take_unused(share)

    def move(self, share: BudgetShare, state: ConnectionState) -> None:
        """Record the new state of a connection.

        :param share: the share of the connection.
        :param state: its new state.
        """
        if self._members[share.state].pop(share, share) is None:
            self._members[state][share] = None
        share.state = state

    def remove(self, share: BudgetShare) -> None:
        """Remove a lost connection.

        :param share: the share of the connection.
        """
        self._members[share.state].pop(share, None)
        share.release()

    def _take_unused(self, newcomer: BudgetShare) -> bool:
        """Close the connection that is needed least; return false if all are needed."""
        for state in UNUSED_STATES:
            members = self._members[state]
            for share in list(_first(members, MAX_CONSIDERED)):
                if share is newcomer:
                    continue
                if share.connection.unread_bytes:
                    # Its caller may still read the response.
                    members.move_to_end(share)
                    continue
                del members[share]
                share.connection.close_unused()
                return True
        return False

    # -- memory of requests

    def reserve_body(self, share: BudgetShare, size_bytes: int) -> bool:
        """Reserve memory for a body; return false if all bodies would be too large.

        :param share: the share of the connection.
        :param size_bytes: the number of bytes to reserve.
        """
        limit_bytes = self._body_limit(share.body_bytes + size_bytes)
        if self.body_bytes + size_bytes > limit_bytes:
            self._free_bodies(self.body_bytes + size_bytes - limit_bytes, share)
        if self.body_bytes + size_bytes > limit_bytes:
            return False
        self.body_bytes += size_bytes
        return True

    def release_body(self, size_bytes: int) -> None:
        """Release reserved memory.

        :param size_bytes: the number of bytes to release.
        """
        self.body_bytes -= size_bytes

    def add_head(self, share: BudgetShare, size_bytes: int) -> bool:
        """Count the memory of heads; return false if they are too large together.

        :param share: the share of the connection.
        :param size_bytes: what has been added.
        """
        self.head_bytes += size_bytes
        limit_bytes: float = self._limits.heads_bytes
        if share.head_bytes > SMALL_HEAD_BYTES:
            # A single head of any permitted size always fits.
            limit_bytes = max(LARGE_SHARE * limit_bytes, share.head_bytes)
        if size_bytes <= 0 or self.head_bytes <= limit_bytes:
            return True
        excess_bytes = self.head_bytes - YIELD_TARGET_SHARE * limit_bytes
        for other in self._find_overdue():
            if excess_bytes <= 0:
                break
            excess_bytes -= other.head_bytes
            if other is not share:
                other.connection.refuse_unfinished(ResultCode.MEMORY_EXHAUSTED)
        return self.head_bytes <= limit_bytes

    @property
    def may_read_ahead(self) -> bool:
        """Whether there is memory for what follows requests in progress."""
        return self.head_bytes <= AHEAD_SHARE * self._limits.heads_bytes

    def _body_limit(self, size_bytes: int) -> int:
        limit_bytes = self._limits.buffered_bytes
        if size_bytes <= SMALL_BODY_BYTES:
            return limit_bytes
        # A single body of any permitted size always fits.
        share_bytes = int(LARGE_SHARE * limit_bytes)
        return min(limit_bytes, max(share_bytes, self.max_body_bytes))

    def _free_bodies(self, excess_bytes: int, needed_for: BudgetShare) -> None:
        """Refuse requests that hardly arrive, the largest first."""
        wanted_bytes = (
            excess_bytes + (1 - YIELD_TARGET_SHARE) * self._limits.buffered_bytes
        )
        for share in self._find_overdue():
            if wanted_bytes <= 0:
                break
            if share.body_bytes and share is not needed_for:
                wanted_bytes -= share.body_bytes
                share.connection.refuse_unfinished(ResultCode.MEMORY_EXHAUSTED)

    def _find_overdue(self, max_count: int | None = None) -> list[BudgetShare]:
        """Return the requests that hardly arrive, the largest first.

        The search is made only now and then, as a crowd that is refused may return at
        once, and each search considers all connections.
        """
        now_ms = self.now_ms()
        if now_ms < self._next_search_ms:
            return []
        self._next_search_ms = now_ms + SEARCH_INTERVAL_MS
        receiving = self._members[ConnectionState.RECEIVING]
        overdue = [share for share in receiving if share.is_overdue(now_ms)]
        overdue.sort(key=lambda each: each.body_bytes + each.head_bytes, reverse=True)
        return overdue[:max_count]

    # -- memory of responses

    @property
    def unread_bytes(self) -> int:
        """Size of all response data that callers have not read yet."""
        return sum(connection.unread_bytes for connection in self)

    @property
    def has_room(self) -> bool:
        """Whether callers that read slowly may leave much more unread than now."""
        return self._unread_bound <= ROOM_SHARE * self._limits.unread_bytes

    def count_unread(self, size_bytes: int) -> None:
        """Count data that was written and not read at once, and apply the limit.

        :param size_bytes: size of the data.
        """
        self._unread_bound += size_bytes
        if self._unread_bound > self._limits.unread_bytes:
            self.limit_unread(YIELD_TARGET_SHARE)

    def limit_unread(self, share: float = 1.0) -> None:
        """End the responses of the slowest callers above the total limit.

        Each response is limited by itself, but a few hundred callers that request
        long ones and do not read them would together exhaust the memory.

        :param share: share of the limit beyond which responses are ended.
        """
        self._unread_bound = self.unread_bytes
        if self._unread_bound <= share * self._limits.unread_bytes:
            return
        target_bytes = YIELD_TARGET_SHARE * self._limits.unread_bytes
        now_ms = self.now_ms()
        slow = [each for each in self if each.unread_bytes]
        # A caller that was sent its response a moment ago may read it yet.
        slow.sort(
            key=lambda each: (
                each.waited_ms(now_ms) >= MIN_WAITED_MS,
                each.drain_ms(now_ms),
            )
        )
        while slow and self._unread_bound > target_bytes:
            connection = slow.pop()
            self._unread_bound -= connection.unread_bytes
            connection.end_slow_caller(SlowCallerReason.MEMORY)


def _first(
    members: OrderedDict[BudgetShare, None], count: int
) -> Iterator[BudgetShare]:
    for share, _ in zip(members, range(count), strict=False):
        yield share
