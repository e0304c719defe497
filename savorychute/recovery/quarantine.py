"""The quarantine of requests that crash endpoints."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

from savorychute.recovery.crash_monitor import CrashMonitor
from savorychute.recovery.poison_broadcaster import PoisonBroadcaster
from savorychute.recovery.poison_digest import PoisonDigest
from savorychute.recovery.poison_news import PoisonNews
from savorychute.recovery.poison_record import NEVER_MS, PoisonRecord
from savorychute.recovery.poison_verdict import PoisonVerdict
from savorychute.recovery.prefix_news import PrefixNews
from savorychute.recovery.prefix_quarantine import PrefixQuarantine
from savorychute.recovery.suspect_lanes import SuspectLanes

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.membership import MemberView
    from savorychute.recovery.quarantine_settings import QuarantineSettings

PEER_SETTLE_FACTOR = 3


class Quarantine:
    """Suspects requests by coincidence with crashes, quarantines by elimination.

    A crash makes every request that ran on the endpoint a suspect.  A suspect
    runs again only on an endpoint where no other suspect of this instance
    runs, so a second crash points at one request per instance.  The updates that
    instances exchange within ``settle_ms`` show whether several requests share
    both crashes.  If so, each is run alone, in the same order at all instances,
    and only on the endpoints that have crashed already.

    :param settings: times and limits.
    :param instance: the name of this instance.
    :param rng: chooses the peers to notify.
    """

    def __init__(
        self, settings: QuarantineSettings, instance: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._records: OrderedDict[str, PoisonRecord] = OrderedDict()
        self._running: dict[str, tuple[str, str]] = {}
        self._recent_crashes: list[tuple[int, PoisonRecord]] = []
        self._crash_monitor = CrashMonitor(settings)
        self._lanes = SuspectLanes(instance, settings.lane_turn_ms)
        self._broadcaster = PoisonBroadcaster(settings, instance, rng)
        self._prefixes = PrefixQuarantine(settings, instance, rng)

    def __len__(self) -> int:
        return len(self._records)

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Set the configured endpoints."""
        self._lanes.set_endpoints(documents)

    def register(self, fingerprint: str, pool: str, prefixes: tuple[int, ...]) -> None:
        """Remember the prompt of a request that arrives.

        :param fingerprint: identifies the request.
        :param pool: its pool.
        :param prefixes: the hash chain of its prompt.
        """
        self._prefixes.register(fingerprint, pool, prefixes)

    def verdict(self, fingerprint: str, now_ms: int) -> PoisonVerdict:
        """Return whether the request may run."""
        if self._prefixes.refuses(fingerprint, now_ms):
            return PoisonVerdict.QUARANTINED
        record = self._find_record(fingerprint, now_ms)
        if record is None or not record.crashes:
            return PoisonVerdict.CLEAR
        if record.quarantined:
            return PoisonVerdict.QUARANTINED
        if self._hold_left_ms(record, now_ms) > 0:
            return PoisonVerdict.HELD
        return PoisonVerdict.SUSPECT

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the request is quarantined and must not run."""
        return self.verdict(fingerprint, now_ms) is PoisonVerdict.QUARANTINED

    def retry_delay_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return the time in ms after which a held request may be retried."""
        record = self._find_record(fingerprint, now_ms)
        return self._hold_left_ms(record, now_ms) if record is not None else 0

    def crashed_endpoints(self, fingerprint: str, now_ms: int) -> tuple[str, ...]:
        """Return the endpoints that crashed while the request ran there."""
        record = self._find_record(fingerprint, now_ms)
        return record.endpoints if record is not None else ()

    def preferred_endpoint(
        self, fingerprint: str, candidates: Sequence[str], now_ms: int
    ) -> str | None:
        """Return the endpoint to run a suspect on, or ``None`` if there is none now.

        After one crash it is an endpoint other than the one that crashed, so
        that a second crash is evidence; one that has crashed recently is
        preferred.  After two crashes it is one of the endpoints that the request
        may have crashed already, so that no third endpoint is lost.

        :param candidates: the endpoints that can run the request.
        """
        if self.verdict(fingerprint, now_ms) is not PoisonVerdict.SUSPECT:
            return None
        record = self._records[fingerprint]
        busy_endpoints = {endpoint for endpoint, _ in self._running.values()}
        free_endpoints = [name for name in candidates if name not in busy_endpoints]
        if self._is_running(fingerprint):
            return None
        if len(record.endpoints) >= 2:
            free_endpoints = [
                name for name in free_endpoints if name in record.endpoints
            ]
        elif any(name not in record.endpoints for name in candidates):
            free_endpoints = [
                name for name in free_endpoints if name not in record.endpoints
            ]
            free_endpoints = self._filter_by_lanes(record, free_endpoints, now_ms)
        return min(
            free_endpoints,
            key=lambda name: self._preference_key(fingerprint, name, now_ms),
            default=None,
        )

    def _filter_by_lanes(
        self, record: PoisonRecord, free_endpoints: list[str], now_ms: int
    ) -> list[str]:
        age_ms = now_ms - max(record.crash_known_ms.values())
        if age_ms > self._settings.lane_ms:
            return free_endpoints
        return [
            name for name in free_endpoints if self._lanes.is_assigned(name, age_ms)
        ]

    def _preference_key(
        self, fingerprint: str, endpoint: str, now_ms: int
    ) -> tuple[bool, int]:
        has_crashed = self._crash_monitor.has_crashed_recently(endpoint, now_ms)
        return not has_crashed, int(
            xxhash.xxh64_intdigest(f'{fingerprint} {endpoint}'.encode())
        )

    def _is_running(self, fingerprint: str) -> bool:
        return any(
            running_fingerprint == fingerprint
            for _, running_fingerprint in self._running.values()
        )

    def record_start(
        self, fingerprint: str, attempt_id: str, endpoint: str, now_ms: int
    ) -> None:
        """Record the start of an attempt; only those of suspects are stored."""
        self._crash_monitor.record_use(endpoint, now_ms)
        record = self._find_record(fingerprint, now_ms)
        if record is not None and record.crashes:
            self._running[attempt_id] = (endpoint, fingerprint)

    def record_end(
        self, fingerprint: str, attempt_id: str, ok: bool, now_ms: int
    ) -> None:
        """Record the end of an attempt without a crash.

        :param ok: whether the answer was complete, which lifts the suspicion.
        """
        self._running.pop(attempt_id, None)
        if ok:
            self._prefixes.record_success(fingerprint, now_ms)
        record = self._find_record(fingerprint, now_ms)
        if ok and record is not None and record.crashes and not record.quarantined:
            self._lift(record, now_ms)

    def release(self, fingerprint: str, now_ms: int) -> None:
        """Lift a quarantine at an operator's command."""
        self._prefixes.lift(fingerprint, now_ms)
        record = self._find_record(fingerprint, now_ms)
        if record is not None and record.crashes:
            self._lift(record, now_ms)

    def _lift(self, record: PoisonRecord, now_ms: int) -> None:
        record.lift()
        record.set_lifetime(self._settings, now_ms)
        self._broadcaster.add(record)

    def record_crash(
        self, fingerprint: str, attempt_id: str, endpoint: str, now_ms: int
    ) -> None:
        """Record that a request ran on an endpoint when it crashed.

        Call this for each such request, and :meth:`tick` immediately afterwards,
        so that other instances know before the caller sends the request again.
        """
        self._running.pop(attempt_id, None)
        if self._crash_monitor.record_crash(endpoint, now_ms):
            self._lift_recent_suspicions(now_ms)
            return
        self._prefixes.record_crash(fingerprint, endpoint, now_ms)
        record = self._records.get(fingerprint)
        if record is None or record.until_ms <= now_ms:
            record = self._make_record(fingerprint)
        record.add_crash(endpoint, now_ms)
        record.observed_here = True
        self._recent_crashes.append((now_ms, record))
        self._start_settling(record, now_ms)
        self._broadcaster.add(record)

    def _lift_recent_suspicions(self, now_ms: int) -> None:
        start_ms = now_ms - self._settings.own_fault_window_ms
        self._prefixes.withdraw_since(start_ms)
        for crashed_ms, record in self._recent_crashes:
            if crashed_ms >= start_ms and record.crashes and not record.quarantined:
                self._lift(record, now_ms)
        self._recent_crashes = []

    def _start_settling(self, record: PoisonRecord, now_ms: int) -> None:
        record.set_lifetime(self._settings, now_ms)
        if record.needs_conclusion and not record.quarantined:
            record.pending_since_ms = now_ms
            record.ambiguous_since_ms = NEVER_MS

    def receive(self, sender: str, message: object, now_ms: int) -> list[Action]:
        """Handle a message of another instance, and forward new entries.

        :param sender: the instance that sent the message.
        """
        if isinstance(message, PoisonDigest):
            return self._broadcaster.respond_to_digest(
                sender, message, self._records, now_ms
            )
        if isinstance(message, PrefixNews):
            return self._prefixes.receive(sender, message, now_ms)
        if not isinstance(message, PoisonNews):
            return []
        for entry in message.entries:
            record = self._records.get(entry.fingerprint)
            if record is None:
                record = self._make_record(entry.fingerprint)
            if not record.merge(entry, now_ms):
                continue
            self._start_settling(record, now_ms)
            record.until_ms = min(record.until_ms, now_ms + entry.lifetime_ms)
            self._broadcaster.add(record)
        return self._broadcaster.broadcast(now_ms, excluded=sender)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Draw the conclusions that are due, and notify other instances.

        :param view: the current members.
        """
        self._broadcaster.set_view(view)
        self._lanes.set_view(view)
        self._recent_crashes = self._recent_crashes[-self._settings.fingerprints :]
        self._expire(now_ms)
        for record in list(self._records.values()):
            if self._is_settled(record, now_ms):
                self._conclude(record, now_ms)
        actions = self._prefixes.tick(view, now_ms)
        actions += self._broadcaster.broadcast(now_ms)
        actions += self._broadcaster.send_digest(self._records, now_ms)
        return actions

    def _is_settled(self, record: PoisonRecord, now_ms: int) -> bool:
        if record.pending_since_ms == NEVER_MS or record.ambiguous_since_ms != NEVER_MS:
            return False
        if record.quarantined:
            return False
        return now_ms - record.pending_since_ms >= self._settings.settle_ms

    def _conclude(self, record: PoisonRecord, now_ms: int) -> None:
        equal_suspects = self._find_equal_suspects(record)
        if len(equal_suspects) > 1 or self._is_ambiguous(record):
            self._assign_turns(equal_suspects, now_ms)
            return
        settle_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        if not record.observed_here and now_ms - record.pending_since_ms < settle_ms:
            # The instance that observed the crash concludes; the others do so
            # only if it does not, because it has died.
            return
        record.quarantined = True
        record.pending_since_ms = NEVER_MS
        record.set_lifetime(self._settings, now_ms)
        self._broadcaster.add(record)
        if record.is_confirmed:
            self._reopen_overlapping(record, now_ms)

    def _assign_turns(self, equal_suspects: list[PoisonRecord], now_ms: int) -> None:
        for turn, suspect in enumerate(equal_suspects):
            suspect.ambiguous_since_ms = now_ms
            suspect.turn = turn

    def _list_overlapping_suspects(self, record: PoisonRecord) -> list[PoisonRecord]:
        """Return the other records that need a conclusion and share a crash."""
        window_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        return [
            other
            for other in self._records.values()
            if other is not record
            and other.needs_conclusion
            and record.shared_crashes(other, window_ms)
        ]

    def _is_ambiguous(self, record: PoisonRecord) -> bool:
        # With two poison requests at a time, an innocent suspect of the first
        # may run where the second crashes an endpoint for the first time.  It
        # then has two crashes, like the first poison request, but they share
        # only one of them.
        return not record.is_confirmed and bool(self._list_overlapping_suspects(record))

    def _reopen_overlapping(self, confirmed_record: PoisonRecord, now_ms: int) -> None:
        """Run alone the requests quarantined for a crash of *confirmed_record*."""
        for record in self._list_overlapping_suspects(confirmed_record):
            if record.quarantined and not record.is_confirmed:
                record.lift(record.endpoints)
                self._start_settling(record, now_ms)
                self._broadcaster.add(record)

    def _find_equal_suspects(self, record: PoisonRecord) -> list[PoisonRecord]:
        endpoints = frozenset(record.endpoints)
        window_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        equal_suspects = [
            other
            for other in self._records.values()
            if other.pending_since_ms != NEVER_MS
            and abs(other.pending_since_ms - record.pending_since_ms) <= window_ms
            and frozenset(other.endpoints) == endpoints
        ]
        return sorted(equal_suspects, key=lambda suspect: suspect.fingerprint)

    def _hold_left_ms(self, record: PoisonRecord, now_ms: int) -> int:
        if record.pending_since_ms == NEVER_MS:
            return 0
        if record.ambiguous_since_ms == NEVER_MS:
            settle_ms = self._settings.settle_ms * PEER_SETTLE_FACTOR
            return max(1, record.pending_since_ms + settle_ms - now_ms)
        earlier_suspects = [
            suspect
            for suspect in self._find_equal_suspects(record)
            if suspect.turn < record.turn
        ]
        if not earlier_suspects:
            return 0
        turn_ms = self._settings.turn_ms * record.turn
        return max(0, record.ambiguous_since_ms + turn_ms - now_ms)

    def _make_record(self, fingerprint: str) -> PoisonRecord:
        record = self._records[fingerprint] = PoisonRecord(fingerprint)
        if len(self._records) > self._settings.fingerprints:
            self._records.popitem(last=False)
        return record

    def _find_record(self, fingerprint: str, now_ms: int) -> PoisonRecord | None:
        record = self._records.get(fingerprint)
        if record is None or record.until_ms <= now_ms:
            return None
        return record

    def _expire(self, now_ms: int) -> None:
        expired = [
            record for record in self._records.values() if record.until_ms <= now_ms
        ]
        for record in expired:
            del self._records[record.fingerprint]
