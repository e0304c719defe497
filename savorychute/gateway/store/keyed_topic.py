"""The interface of a keyed topic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.store.write_fence import WriteFence
    from savorychute.gateway.store.write_receipt import WriteReceipt


class KeyedTopic(Protocol):
    """A log that keeps the newest record of each key forever.

    Every method raises
    :class:`~savorychute.gateway.store.store_errors.StoreUnavailableError` if the store
    does not respond in time or refuses the call.
    """

    async def list_newest(self) -> TopicSnapshot:
        """Return the newest record of each key."""
        ...

    async def read_from(self, offset: int, wait_ms: int) -> TopicDelta:
        """Return the records from an offset on; if there are none, wait for the first.

        :param offset: the first offset to return.
        :param wait_ms: the longest time to wait.
        :raises HistoryLostError: if the records are no longer kept.
        """
        ...

    async def write(
        self,
        key: str,
        value: bytes | None,
        expected_end: int | None = None,
        fence: WriteFence | None = None,
    ) -> WriteReceipt:
        """Append a record, and return its position.

        :param key: the key of the record.
        :param value: its value, or None to remove the key.
        :param expected_end: if given, write only if the topic ends at this offset.
        :param fence: if given, write only if the store has accepted no later write of
            this writer.
        :raises WriteConflictError: if the topic ends at a different offset.
        :raises WriteFencedError: if the store has accepted a later write.
        """
        ...
