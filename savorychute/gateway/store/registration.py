"""Registers this instance with its peers, in the platform's store."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import xxhash

from savorychute.gateway.store.call_purpose import CallPurpose
from savorychute.gateway.store.instance_entry import (
    SECRET_KEY,
    InstanceEntry,
    InstanceListing,
    decode_listing,
    encode_entry,
)
from savorychute.gateway.store.store_era import number_in_era
from savorychute.gateway.store.store_errors import WriteConflictError
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.store.write_fence import WriteFence
from savorychute.wire.peer_key import MAX_KEY_ID, PeerKey
from savorychute.wire.peer_keys import PeerKeys

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.member_address import MemberAddress

SECRET_BYTES = 32
# The number of bits for the sequence number of writes; one run writes its entry less
# often.
WRITE_NUMBER_BITS = 16


class Registration:
    """Writes, reads and removes the entries of instances.

    The settings name no peers and contain no shared secret. Every instance that may
    write to the store is a peer, so the store also holds the secret that signs messages
    between instances. The first instance writes it on the condition that the topic has
    not changed meanwhile; the others use it.

    :param topic: the topic of instances.
    :param address: the address of this instance; its incarnation is set on
        registration.
    :param count_call: counts each call to the store.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        address: MemberAddress,
        count_call: Callable[[CallPurpose], None],
    ) -> None:
        self._topic = topic
        self._count_call = count_call
        self.address = address
        self.keys: PeerKeys | None = None
        # The era of the store in which this instance last wrote its entry.
        self.era = 0
        # The retry cap in the entry of this run, and in that of the previous run.
        self.retry_cap: float | None = None
        self.inherited_cap: float | None = None
        self._has_listed = False
        self._writes = 0
        # The entries of all instances at the time of registration.
        self.listing = InstanceListing(())

    async def register(self, inherit: Callable[[float | None], float | None]) -> None:
        """Register this instance with a larger incarnation than any earlier run.

        The incarnation consists of the era of the store and the offset at which the
        topic ended, which together only grow. The time of day may jump back, and the
        entry of the previous run is gone if it left gracefully. With the incarnation of
        an earlier run, peers would take the messages of this run for duplicates and
        ignore them. The offset alone goes back when the store is restored from an older
        copy.

        :param inherit: called with the largest number of retries that earlier runs can
            have sent to a service within the window of the retry bounds (None if
            unknown); returns the retry cap of this run.
        :raises StoreUnavailableError: if the store does not respond.
        """
        snapshot = await self._list_with_secret()
        self.keys = _find_secret(snapshot.records)
        incarnation = number_in_era(snapshot.era, snapshot.next_offset)
        self.address = self.address._replace(incarnation=incarnation)
        self.era = snapshot.era
        self.listing = decode_listing(snapshot.records)
        self._read_inherited_cap(snapshot)
        self.retry_cap = inherit(self.inherited_cap)
        await self.write_entry()

    def _read_inherited_cap(self, snapshot: TopicSnapshot) -> None:
        """Read how many retries earlier runs may have sent within the last window.

        An entry of an earlier era is ignored, because it may have been followed by
        other entries that the store has lost. Only the first attempt to register
        counts, because a later one may find this run's own entry.
        """
        if self._has_listed:
            return
        self._has_listed = True
        entry = self.listing.find(self.address.instance)
        if entry is None:
            return
        if entry.address.incarnation >= number_in_era(snapshot.era, 0):
            self.inherited_cap = entry.repeats

    async def _list_with_secret(self, secret: bytes | None = None) -> TopicSnapshot:
        """Return a listing that contains a secret; write one if there is none.

        Each attempt lists the topic again: if the response to the write of the entry
        was lost, state of the earlier attempt is not reliable.

        :param secret: the secret to write; None for a new one.
        """
        while True:
            snapshot = await self._list()
            if _find_secret(snapshot.records) is not None:
                return snapshot
            self._count_call(CallPurpose.REGISTER)
            try:
                await self._topic.write(
                    SECRET_KEY,
                    secret or secrets.token_bytes(SECRET_BYTES),
                    snapshot.next_offset,
                )
            except WriteConflictError:
                # Another instance wrote first, and the next listing contains its
                # secret.
                continue

    async def _list(self) -> TopicSnapshot:
        self._count_call(CallPurpose.REGISTER)
        return await self._topic.list_newest()

    async def write_entry(self) -> None:
        """Write the entry of this instance."""
        await self._write(
            InstanceEntry(self.address, repeats=self.retry_cap), CallPurpose.REGISTER
        )

    async def write_retry_cap(self, retry_cap: float) -> None:
        """Write the largest number of retries that this run sends from now on.

        :param retry_cap: the retries to any service within the window of the retry
            bounds.
        :raises StoreUnavailableError: if the store does not respond; the entry may then
            contain the old or the new number.
        """
        self.retry_cap = retry_cap
        await self._write(
            InstanceEntry(self.address, repeats=retry_cap), CallPurpose.ALLOW_REPEATS
        )

    async def list_instances(self) -> InstanceListing:
        """Return the entries of all instances."""
        self._count_call(CallPurpose.MEMBERS)
        snapshot = await self._topic.list_newest()
        return decode_listing(snapshot.records)

    async def restore_entry(self) -> InstanceListing:
        """Write again what an older copy of the store lacks; return all entries.

        An instance that has started meanwhile may have found no secret and written
        another one. That secret is used from now on. The previous one is still accepted
        until all other instances have read the new one.

        :raises StoreUnavailableError: if the store does not respond.
        """
        assert self.keys is not None
        snapshot = await self._list_with_secret(self.keys.signing.secret)
        stored_keys = _find_secret(snapshot.records)
        assert stored_keys is not None
        if stored_keys.signing != self.keys.signing:
            self.keys = PeerKeys(stored_keys.signing, (self.keys.signing,))
        listing = decode_listing(snapshot.records)
        if self.address not in listing.live:
            await self.write_entry()
        self.era = snapshot.era
        return listing

    async def leave(self, retry_cap: float | None) -> None:
        """Write that this run ends gracefully.

        :param retry_cap: the largest number of retries that it sends to any service
            within the window of the retry bounds; None if unknown.
        :raises StoreUnavailableError: if the store does not respond.
        """
        entry = InstanceEntry(self.address, left=True, repeats=retry_cap)
        await self._write(entry, CallPurpose.LEAVE)

    async def _write(self, entry: InstanceEntry, purpose: CallPurpose) -> None:
        """Write an entry that no earlier write can replace.

        The store may execute a write late after it did not respond. Without the fence,
        such a write of a previous run could replace the entry of the current one, whose
        retry cap may be larger.
        """
        self._count_call(purpose)
        self._writes += 1
        number = (self.address.incarnation << WRITE_NUMBER_BITS) + self._writes
        fence = WriteFence(self.address.instance, number)
        await self._topic.write(self.address.instance, encode_entry(entry), fence=fence)

    async def remove(self, instance: str) -> None:
        """Remove the entry of an instance that will not return.

        :param instance: the name of the instance.
        """
        self._count_call(CallPurpose.LEAVE)
        await self._topic.write(instance, None)


def _find_secret(records: Iterable[KeyedRecord | UnreadableRecord]) -> PeerKeys | None:
    for record in records:
        if isinstance(record, UnreadableRecord):
            continue
        if record.key == SECRET_KEY and record.value is not None:
            return PeerKeys(PeerKey(_key_id(record.value), record.value))
    return None


def _key_id(secret: bytes) -> int:
    """Return an identifier that distinguishes two secrets."""
    return 1 + xxhash.xxh3_64_intdigest(secret) % MAX_KEY_ID
