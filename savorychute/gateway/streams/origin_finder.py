"""Finds the origin of a stream that its caller takes up again."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.streams.lookup_budget import LookupBudget
from savorychute.gateway.streams.origin_group import (
    OriginGroup,
    StreamRecord,
    group_records,
    split_keys,
)
from savorychute.gateway.streams.stream_news import StreamNews
from savorychute.gateway.streams.stream_origin import OWNER_BYTES, StreamOrigin
from savorychute.gateway.streams.stream_question import StreamQuestion

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.requests.attempt_port import TimerHandle, TimerPort
    from savorychute.gateway.streams.origin_store import MarkedVersions, OriginStore
    from savorychute.gateway.streams.origin_table import KnownOrigin, OriginTable
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# A response between failure domains takes a few ms; a datagram may be lost.
RESEND_MS = 40
# The store is asked if no instance has responded with a record by then; each call to it
# has a price.
STORE_DELAY_MS = 20
# Later responses are not worth the wait: the caller has time to try another instance.
MAX_LOOKUP_MS = 200
# The instances of the own region are asked first; callers rarely change the region.
MAX_ASKED = 80
ONLY_VERSION = 'only-version'
# Reasons why an origin stays unknown.
UNKNOWN = 'unknown-origin'
AMBIGUOUS = 'ambiguous-origin'
TOO_MANY = 'too-many-lookups'
UNNAMED = 'unnamed-origin'


class Finding(NamedTuple):
    """The origin of a stream, and how it is known; if it is None, why it is not.

    ``source`` is ``own``, the name of an instance, ``store`` or ``only-version``, and
    ``age_ms`` the age of the record here, 0 for an answer to this lookup.
    """

    origin: StreamOrigin | None
    source: str
    age_ms: int = 0


class _Lookup:
    """A lookup in progress."""

    def __init__(self, key: bytes, service: str) -> None:
        self.key = key
        self.service = service
        self.asked: set[str] = set()
        self.responded: set[str] = set()
        self.store_asked = False
        self.store_done = False
        self.ended = False
        self.callbacks: list[Callable[[Finding], None]] = []
        self.timers: list[TimerHandle] = []


class OriginFinder:
    """Looks in the own table, asks the other instances, and reads the store.

    A record is a fact, and so is the statement of the store that only one version may
    have begun streams of a service.  Nothing else counts: that one version serves now,
    or that an instance knows no record, proves nothing.

    :param table: the recorded origins.
    :param store: what the store holds.
    :param clock: the clock.
    :param timers: timers for lookups.
    """

    def __init__(
        self, table: OriginTable, store: OriginStore, clock: Clock, timers: TimerPort
    ) -> None:
        self._table = table
        self._store = store
        self._clock = clock
        self._timers = timers
        self._budget = LookupBudget()
        self._view: MemberView | None = None
        self._lookups: dict[tuple[bytes, str], _Lookup] = {}
        # Sends a message to another instance immediately.
        self.send: Callable[[SendPeer], None] | None = None

    def set_view(self, view: MemberView) -> None:
        """Set the current members, and ask those that have joined.

        An instance that has just started does not know the others yet, but it may
        already be asked to take a stream up.

        :param view: the members.
        """
        if view is self._view:
            return
        self._view = view
        for lookup in list(self._lookups.values()):
            self._ask_others(lookup)
            self._end_if_known_or_done(lookup)

    def find(
        self, key: bytes, service: str, on_found: Callable[[Finding], None]
    ) -> None:
        """Find the origin of a stream.

        :param key: key of the stream; empty if its caller names none.
        :param service: the only service of its route; empty if there are several.
        :param on_found: called once, at once or within the longest lookup.
        """
        now_ms = self._clock.now_ms()
        known = self._table.find(key, now_ms)
        if known is not None:
            on_found(_make_finding(known, now_ms))
            return
        lookup = self._lookups.get((key, service))
        if lookup is not None:
            lookup.callbacks.append(on_found)
            return
        if not self._budget.acquire(key[:OWNER_BYTES], now_ms):
            on_found(Finding(None, TOO_MANY))
            return
        self._begin(key, service, on_found)

    def _begin(
        self, key: bytes, service: str, on_found: Callable[[Finding], None]
    ) -> None:
        lookup = _Lookup(key, service)
        lookup.callbacks.append(on_found)
        self._lookups[key, service] = lookup
        self._ask_others(lookup)
        lookup.timers = [
            self._timers.call_later(STORE_DELAY_MS, lambda: self._ask_store(lookup)),
            self._timers.call_later(RESEND_MS, lambda: self._ask_again(lookup)),
            self._timers.call_later(MAX_LOOKUP_MS, lambda: self._give_up(lookup)),
        ]
        if self._have_all_responded(lookup):
            self._ask_store(lookup)

    def _ask_others(self, lookup: _Lookup) -> None:
        """Ask the instances that have not been asked yet."""
        if not lookup.key:
            return
        others = [
            each for each in self._choose_asked() if each.instance not in lookup.asked
        ]
        lookup.asked.update(each.instance for each in others)
        self._ask(lookup, others)

    def _choose_asked(self) -> list[MemberAddress]:
        view = self._view
        if view is None:
            return []
        others = [each for each in view.alive if each.instance != view.own.instance]
        others.sort(key=lambda each: each.region != view.own.region)
        return others[:MAX_ASKED]

    def _ask(self, lookup: _Lookup, members: list[MemberAddress]) -> None:
        question = StreamQuestion(lookup.key)
        for member in members:
            if self.send is not None:
                self.send(
                    SendPeer(member.instance, member.host, member.peer_port, question)
                )

    def _ask_again(self, lookup: _Lookup) -> None:
        silent = [
            each
            for each in self._choose_asked()
            if each.instance not in lookup.responded
        ]
        self._ask(lookup, silent)

    # -- the store

    def _ask_store(self, lookup: _Lookup) -> None:
        if lookup.ended or lookup.store_asked:
            return
        lookup.store_asked = True
        self._store.list_marks(lambda marks: self._handle_marks(lookup, marks))

    def _handle_marks(self, lookup: _Lookup, marks: MarkedVersions | None) -> None:
        if lookup.ended:
            return
        origin = marks.only_version(lookup.service) if marks is not None else None
        if origin is not None:
            self._end(lookup, Finding(origin, ONLY_VERSION))
        elif marks is None or not lookup.key:
            self._store_done(lookup)
        else:
            self._store.read_records(lambda _: self._store_done(lookup))

    def _store_done(self, lookup: _Lookup) -> None:
        if lookup.ended:
            return
        lookup.store_done = True
        self._end_if_known_or_done(lookup)

    # -- other instances

    def respond(self, question: StreamQuestion) -> StreamNews:
        """Return the origins that this instance knows.

        :param question: question of another instance.
        """
        now_ms = self._clock.now_ms()
        records = []
        for key in split_keys(question.keys):
            known = self._table.find(key, now_ms)
            if known is not None and known.origin is not None:
                lifetime_ms = known.until_ms - now_ms
                records.append(StreamRecord(key, known.origin, lifetime_ms))
        return StreamNews(group_records(records), question.keys)

    def handle_news(self, sender: str, groups: tuple[OriginGroup, ...]) -> None:
        """Record what another instance tells.

        :param sender: the other instance.
        :param groups: the origins.
        """
        now_ms = self._clock.now_ms()
        for group in groups:
            for key, origin, lifetime_ms in group.records():
                self._table.record(key, origin, sender, lifetime_ms, now_ms)

    def handle_response(self, sender: str, answered: bytes) -> None:
        """Continue the lookups that an instance has responded to.

        :param sender: the other instance.
        :param answered: the keys of the question.
        """
        keys = frozenset(split_keys(answered))
        for lookup in list(self._lookups.values()):
            if lookup.key in keys:
                lookup.responded.add(sender)
                self._end_if_known_or_done(lookup)

    def _end_if_known_or_done(self, lookup: _Lookup) -> None:
        now_ms = self._clock.now_ms()
        known = self._table.find(lookup.key, now_ms)
        if known is not None:
            self._end(lookup, _make_finding(known, now_ms))
        elif self._have_all_responded(lookup):
            self._ask_store(lookup)
            if lookup.store_done:
                self._give_up(lookup)

    def _have_all_responded(self, lookup: _Lookup) -> bool:
        if not lookup.key:
            return True
        return self._view is not None and lookup.asked <= lookup.responded

    def _give_up(self, lookup: _Lookup) -> None:
        if not lookup.ended:
            self._end(lookup, Finding(None, UNKNOWN if lookup.key else UNNAMED))

    def _end(self, lookup: _Lookup, finding: Finding) -> None:
        lookup.ended = True
        del self._lookups[lookup.key, lookup.service]
        for timer in lookup.timers:
            timer.cancel()
        for callback in lookup.callbacks:
            callback(finding)


def _make_finding(known: KnownOrigin, now_ms: int) -> Finding:
    if known.origin is None:
        return Finding(None, AMBIGUOUS)
    return Finding(known.origin, known.source, now_ms - known.recorded_ms)
