"""Tells other instances which version began the streams of this one."""

from __future__ import annotations

from itertools import islice
from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.dispatch.decaying_sum import DecayingSum
from savorychute.gateway.streams.origin_group import (
    OriginGroup,
    StreamRecord,
    group_records,
)
from savorychute.gateway.streams.stream_news import StreamNews
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.requests.attempt_port import TimerPort
    from savorychute.gateway.streams.stream_origin import StreamOrigin
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# Other instances that keep the records of this one.  Four in several failure domains
# survive together with the loss of most instances.
KEEPERS = 4
# A few instances write to the store what others tell them.
COLLECTORS_KEY = 'stream-collectors'
INSTANCES_PER_COLLECTOR = 16
# Between two messages.  It grows with the square of the records per second: an instance
# with few streams tells each of them at once, a busy one sends fewer, larger messages.
PAUSE_MS_PER_SQUARED_RATE = 0.3
MAX_PAUSE_MS = 500
RATE_DECAY_S = 2.0
# So that a message fits into one datagram.
RECORDS_PER_MESSAGE = 60
MAX_PENDING = 4_096
MAX_OWN = 8_192


class _OwnRecord(NamedTuple):
    record: StreamRecord
    until_ms: int


class OriginTeller:
    """Sends each record to a few instances before the first event leaves this one.

    The caller of a stream whose instance is gone takes it up at any other one, which
    asks all instances.  If an instance that kept the records is gone, another one gets
    them.  While a service has several versions, the records also go to an instance that
    collects them for the store, which keeps them if all instances are lost at once.

    :param clock: the clock.
    :param timers: timers for the next message.
    """

    def __init__(self, clock: Clock, timers: TimerPort) -> None:
        self._clock = clock
        self._timers = timers
        self._view: MemberView | None = None
        self._keepers: tuple[MemberAddress, ...] = ()
        self._collector: MemberAddress | None = None
        self._pending: dict[bytes, StreamRecord] = {}
        self._own: dict[bytes, _OwnRecord] = {}
        self._stored_services: frozenset[str] = frozenset()
        self._next_ms = 0
        # Records told recently.
        self._recent = DecayingSum(RATE_DECAY_S)
        self._has_timer = False
        # Number of records that were told to nobody, because too many were waiting.
        self.dropped = 0
        # Sends a message to another instance immediately.
        self.send: Callable[[SendPeer], None] | None = None
        # Called with groups that this instance has to write to the store.
        self.on_collected: Callable[[Iterable[OriginGroup]], None] | None = None

    def set_view(self, view: MemberView) -> None:
        """Choose the instances that keep the records; tell new ones what they lack.

        :param view: the current members.
        """
        if view is self._view:
            return
        self._view = view
        collector = self._choose_collector(view)
        keepers = self._choose_keepers(view, collector)
        new = [each for each in keepers if each not in self._keepers]
        is_new_collector = collector is not None and collector != self._collector
        self._keepers, self._collector = keepers, collector
        self._drop_expired()
        self._retell(new, self._own_records())
        if is_new_collector and collector not in new:
            self._store_again(self._own_records())

    def _choose_collector(self, view: MemberView) -> MemberAddress | None:
        alive = [each for each in view.alive if each.instance not in view.suspects]
        count = ceil(len(alive) / INSTANCES_PER_COLLECTOR)
        collectors = choose_homes(COLLECTORS_KEY, alive, count)
        chosen = choose_homes(view.own.instance, collectors, 1)
        return chosen[0] if chosen else None

    def _choose_keepers(
        self, view: MemberView, collector: MemberAddress | None
    ) -> tuple[MemberAddress, ...]:
        others = [
            each
            for each in view.alive
            if each.instance != view.own.instance
            and each.instance not in view.suspects
            and each != collector
        ]
        chosen = choose_homes(f'streams/{view.own.instance}', others, KEEPERS)
        if collector is None or collector == view.own:
            return chosen
        return (collector, *chosen[: KEEPERS - 1])

    def set_stored_services(self, services: frozenset[str]) -> None:
        """Set the services whose records belong into the store.

        :param services: the services with several versions.
        """
        added = services - self._stored_services
        self._stored_services = services
        if not added:
            return
        self._drop_expired()
        self._store_again(
            record for record in self._own_records() if record.origin.service in added
        )

    def store_went_back(self) -> None:
        """Store the records again, as the store may have lost them."""
        self._drop_expired()
        self._store_again(self._own_records())

    def _store_again(self, records: Iterable[StreamRecord]) -> None:
        """Store some records, as far as they belong into the store."""
        view, collector = self._view, self._collector
        if view is None or collector is None:
            return
        stored = [each for each in records if self._is_stored(each)]
        if collector == view.own:
            self._collect(group_records(stored, self._stored_services))
        else:
            self._retell([collector], stored)

    def _is_stored(self, record: StreamRecord) -> bool:
        return record.origin.service in self._stored_services

    def tell(self, key: bytes, origin: StreamOrigin, lifetime_ms: int) -> None:
        """Tell the origin of a stream of this instance, now or within half a second.

        :param key: key of the stream.
        :param origin: what began it.
        :param lifetime_ms: how long its caller may take it up.
        """
        now_ms = self._clock.now_ms()
        record = StreamRecord(key, origin, lifetime_ms)
        self._own.pop(key, None)
        self._own[key] = _OwnRecord(record, now_ms + lifetime_ms)
        if len(self._own) > MAX_OWN:
            self._own.pop(next(iter(self._own)))
        self._pending[key] = record
        if len(self._pending) > MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))
            self.dropped += 1
        if now_ms >= self._next_ms:
            self._flush()
        elif not self._has_timer:
            self._has_timer = True
            self._timers.call_later(self._next_ms - now_ms, self._timer_expired)

    def forget(self, key: bytes) -> None:
        """Stop telling the origin of a stream that has ended completely.

        :param key: key of the stream.
        """
        self._own.pop(key, None)

    def _timer_expired(self) -> None:
        self._has_timer = False
        if self._pending:
            self._flush()

    def _flush(self) -> None:
        records = tuple(self._pending.values())
        self._pending.clear()
        now_ms = self._clock.now_ms()
        self._recent.add(len(records), now_ms)
        rate_per_s = self._recent.value(now_ms) / RATE_DECAY_S
        pause_ms = PAUSE_MS_PER_SQUARED_RATE * rate_per_s**2
        self._next_ms = now_ms + int(min(pause_ms, MAX_PAUSE_MS))
        self._retell(self._keepers, records)
        if self._view is not None and self._collector == self._view.own:
            self._collect(group_records(records, self._stored_services))

    def _retell(
        self, receivers: Sequence[MemberAddress], records: Iterable[StreamRecord]
    ) -> None:
        remaining = iter(records)
        while batch := tuple(islice(remaining, RECORDS_PER_MESSAGE)):
            kept = StreamNews(group_records(batch))
            collected = StreamNews(group_records(batch, self._stored_services))
            for member in receivers:
                self._send(member, collected if member == self._collector else kept)

    def _send(self, member: MemberAddress, news: StreamNews) -> None:
        if self.send is not None:
            self.send(SendPeer(member.instance, member.host, member.peer_port, news))

    def _collect(self, groups: Iterable[OriginGroup]) -> None:
        stored = [group for group in groups if group.stored]
        if stored and self.on_collected is not None:
            self.on_collected(stored)

    def _own_records(self) -> list[StreamRecord]:
        return [each.record for each in self._own.values()]

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        self._own = {
            key: each for key, each in self._own.items() if now_ms < each.until_ms
        }
