"""This instance's entry among its peers, in the platform's store."""

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
# One run writes its entry less often than the number that these bits hold.
WRITE_BITS = 16


class Registration:
    """Enters, reads and removes the addresses of instances.

    The settings name no peers and hold no shared secret.  Whoever may write to the
    store is a peer, so the secret that signs messages between instances lies there
    too.  The first instance writes it on the condition that nobody has written
    meanwhile; the others use what they find.

    :param topic: where instances register.
    :param address: this instance; its incarnation is set when it registers.
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
        # Of the store when this instance entered last.
        self.era = 0
        # What the entry says of the repeats of this run, and said of the one before.
        self.repeats: float | None = None
        self.inherited: float | None = None
        self._has_listed = False
        self._writes = 0
        # All instances, as they were when this one registered.
        self.listing = InstanceListing(())

    async def register(self, inherit: Callable[[float | None], float | None]) -> None:
        """Enter this instance with a larger incarnation than any run before it.

        The incarnation is the era of the store and the offset at which the topic ended in
        it, which only grow.  The time of day may jump back, and the entry of the run
        before is gone if it left in order; with its incarnation peers would take this
        run's messages for repetitions and ignore them.  The offset alone goes back with a
        store that comes back from an older copy.

        :param inherit: is told the most that earlier runs can have sent to a service within
            the window of the retry bounds (None if nobody knows), and returns the same of
            this run.
        :raises StoreUnavailableError: if the store does not answer.
        """
        snapshot = await self._list_with_secret()
        self.keys = _find_secret(snapshot.records)
        incarnation = number_in_era(snapshot.era, snapshot.next_offset)
        self.address = self.address._replace(incarnation=incarnation)
        self.era = snapshot.era
        self.listing = decode_listing(snapshot.records)
        self._take_inheritance(snapshot)
        self.repeats = inherit(self.inherited)
        await self.enter()

    def _take_inheritance(self, snapshot: TopicSnapshot) -> None:
        """Take in what earlier runs may have sent to a service within the last window.

        An entry of an earlier era of the store may have been followed by others that the
        store has lost.  What this run finds when it tries again may be its own entry.
        """
        if self._has_listed:
            return
        self._has_listed = True
        entry = self.listing.find(self.address.instance)
        if entry is None:
            return
        if entry.address.incarnation >= number_in_era(snapshot.era, 0):
            self.inherited = entry.repeats

    async def _list_with_secret(self, secret: bytes | None = None) -> TopicSnapshot:
        """Return a listing that holds a secret; write one if there is none.

        Each try lists anew.  Where the answer to the entry's write was lost, nothing of
        the try before is left to rely on.

        :param secret: to be written; None for a new one.
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
                # Another instance was first, and the next listing shows its secret.
                continue

    async def _list(self) -> TopicSnapshot:
        self._count_call(CallPurpose.REGISTER)
        return await self._topic.list_newest()

    async def enter(self) -> None:
        """Write this instance's entry."""
        await self._write(
            InstanceEntry(self.address, repeats=self.repeats), CallPurpose.REGISTER
        )

    async def allow_repeats(self, repeats: float) -> None:
        """Write how many repeats this run sends at most from now on.

        :param repeats: to any service within the window of the retry bounds.
        :raises StoreUnavailableError: if the store does not answer; the entry may say
            either number then.
        """
        self.repeats = repeats
        await self._write(
            InstanceEntry(self.address, repeats=repeats), CallPurpose.ALLOW_REPEATS
        )

    async def list_instances(self) -> InstanceListing:
        """Return the entries of all instances."""
        self._count_call(CallPurpose.MEMBERS)
        snapshot = await self._topic.list_newest()
        return decode_listing(snapshot.records)

    async def enter_again(self) -> InstanceListing:
        """Write again what an older copy of the store lacks; return all entries.

        An instance that has started meanwhile may have found no secret and written
        another.  That one is used from now on, and the one before is still accepted, until
        all others have read the new one as well.

        :raises StoreUnavailableError: if the store does not answer.
        """
        assert self.keys is not None
        snapshot = await self._list_with_secret(self.keys.signing.secret)
        found = _find_secret(snapshot.records)
        assert found is not None
        if found.signing != self.keys.signing:
            self.keys = PeerKeys(found.signing, (self.keys.signing,))
        listing = decode_listing(snapshot.records)
        if self.address not in listing.live:
            await self.enter()
        self.era = snapshot.era
        return listing

    async def leave(self, repeats: float | None) -> None:
        """Write that this run ends in order.

        :param repeats: the most that it sends to any service within the window of the
            retry bounds; None if it does not know.
        :raises StoreUnavailableError: if the store does not answer.
        """
        entry = InstanceEntry(self.address, left=True, repeats=repeats)
        await self._write(entry, CallPurpose.LEAVE)

    async def _write(self, entry: InstanceEntry, purpose: CallPurpose) -> None:
        """Write an entry that no earlier one can replace.

        The store may take a write late that was not answered.  The next run would be taken
        for an earlier one then, with more repeats than it has told.
        """
        self._count_call(purpose)
        self._writes += 1
        number = (self.address.incarnation << WRITE_BITS) + self._writes
        fence = WriteFence(self.address.instance, number)
        await self._topic.write(self.address.instance, encode_entry(entry), fence=fence)

    async def remove(self, instance: str) -> None:
        """Remove the entry of an instance that does not come back.

        :param instance: its name.
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
    """Return a number that tells two secrets apart."""
    return 1 + xxhash.xxh3_64_intdigest(secret) % MAX_KEY_ID
