"""What a gateway needs of one keyed topic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.store.write_fence import WriteFence
    from savorychute.gateway.store.write_receipt import WriteReceipt


class KeyedTopic(Protocol):
    """A log whose newest record of each key is kept for good.

    Every method raises :class:`~savorychute.gateway.store.store_errors.StoreUnavailableError`
    if the store does not answer in time or refuses the call.
    """

    async def list_newest(self) -> TopicSnapshot:
        """Return the newest record of each key."""
        ...

    async def read_from(self, offset: int, wait_ms: int) -> TopicDelta:
        """Return the records from an offset on; without any, wait for the first.

        :param offset: the first one wanted.
        :param wait_ms: how long to wait.
        :raises HistoryLostError: if they are no longer kept.
        """
        ...

    async def write(
        self,
        key: str,
        value: bytes | None,
        expected_end: int | None = None,
        fence: WriteFence | None = None,
    ) -> WriteReceipt:
        """Append a record, and return where it stands.

        :param key: the record's key.
        :param value: its value, or None to remove the key.
        :param expected_end: write only if the topic ends at this offset.
        :param fence: write only if the store has taken no later write of this writer.
        :raises WriteConflictError: if the topic ends elsewhere.
        :raises WriteFencedError: if the store has taken a later one.
        """
        ...
