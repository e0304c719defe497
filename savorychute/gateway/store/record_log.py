"""The interface of a log of raw records."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class LogRead(NamedTuple):
    """Records of a log in their order, and where the next read begins.

    ``end`` is the end of the log at that time, ``era`` the era of the store.
    """

    records: tuple[bytes, ...]
    next_offset: int
    end: int
    era: int = 0


class RecordLog(Protocol):
    """A log whose records expire after a while.

    Every method raises
    :class:`~savorychute.gateway.store.store_errors.StoreUnavailableError` if the store
    does not respond in time or refuses the call.
    """

    async def append(self, record: bytes) -> int:
        """Append a record; return its offset."""
        ...

    async def read_from(self, offset: int) -> LogRead:
        """Return the records from an offset on, or from the first one that is kept.

        :param offset: the first offset to return.
        """
        ...

    async def trim(self, before: int) -> None:
        """Delete the records before an offset."""
        ...
