"""What one connection holds of the budget of all connections."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.http.connection_budget import ConnectionBudget
    from savorychute.http.slow_caller import SlowCallerReason
    from savorychute.result_code import ResultCode

# While a request arrives, its connection need not yield if it has received this much
# per millisecond, apart from pauses.
MIN_BYTES_PER_MS = 128
MAX_PAUSE_MS = 2_000


class ConnectionState(Enum):
    """What a connection is used for.

    ``SILENT``: nothing has been received.  ``RECEIVING``: a part of a request has.
    ``BUSY``: a request is in progress.  ``IDLE``: its last request has ended.
    ``LINGERING``: it was refused, and its caller may read why.
    """

    SILENT = 'silent'
    RECEIVING = 'receiving'
    BUSY = 'busy'
    IDLE = 'idle'
    LINGERING = 'lingering'


class BudgetedConnection(Protocol):
    """A connection that may have to yield to others."""

    share: BudgetShare

    @property
    def unread_bytes(self) -> int:
        """Size of the response data that the caller has not read yet."""
        ...

    def drain_ms(self, now_ms: int) -> float:
        """Return how long the caller will take to read what it has not read yet."""
        ...

    def waited_ms(self, now_ms: int) -> int:
        """Return for how long there has been data that the caller has not read."""
        ...

    def end_slow_caller(self, reason: SlowCallerReason) -> None:
        """Abort the connection of a caller that reads too slowly."""
        ...

    def close_unused(self) -> None:
        """Close the connection, which is not in use."""
        ...

    def refuse_unfinished(self, code: ResultCode) -> None:
        """Refuse a request that has not arrived whole."""
        ...


class BudgetShare:
    """What one connection holds of a budget.

    :param budget: the budget of all connections.
    :param connection: the connection.
    """

    __slots__ = (
        '_budget',
        '_due_ms',
        'body_bytes',
        'connection',
        'head_bytes',
        'state',
    )

    def __init__(
        self, budget: ConnectionBudget, connection: BudgetedConnection
    ) -> None:
        self._budget = budget
        self.connection = connection
        self.state = ConnectionState.SILENT
        self.body_bytes = 0
        # Heads, and bytes that were received and not processed yet.
        self.head_bytes = 0
        self._due_ms = 0.0

    def enter(self, state: ConnectionState) -> None:
        """Record what the connection is used for from now on.

        :param state: its new state.
        """
        if state is ConnectionState.RECEIVING is not self.state:
            self._due_ms = self._budget.now_ms() + MAX_PAUSE_MS
        self._budget.move(self, state)

    def reserve_body(self, size_bytes: int) -> bool:
        """Reserve memory for a part of a body; return false if there is too little.

        :param size_bytes: size of the part.
        """
        if not self._budget.reserve_body(self, size_bytes):
            return False
        self.body_bytes += size_bytes
        now_ms = self._budget.now_ms()
        self._due_ms = min(
            now_ms + MAX_PAUSE_MS,
            max(now_ms, self._due_ms) + size_bytes / MIN_BYTES_PER_MS,
        )
        return True

    def set_head(self, size_bytes: int) -> bool:
        """Record the memory of what is no body; return false if there is too little.

        It is counted in any case, as the bytes have been received.

        :param size_bytes: size of all that the connection holds besides a body.
        """
        added_bytes = size_bytes - self.head_bytes
        self.head_bytes = size_bytes
        return self._budget.add_head(self, added_bytes)

    @property
    def may_read_ahead(self) -> bool:
        """Whether more may be received than the request in progress."""
        return self._budget.may_read_ahead

    def release(self) -> None:
        """Release all memory."""
        self._budget.release_body(self.body_bytes)
        self.body_bytes = 0
        self.set_head(0)

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether a request arrives so slowly that its connection has to yield.

        :param now_ms: the current time.
        """
        return self.state is ConnectionState.RECEIVING and now_ms > self._due_ms
