"""Keeps requests that crash endpoints from crashing more of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

from savorychute.recovery.crash_watch import CrashWatch
from savorychute.recovery.poison_digest import PoisonDigest
from savorychute.recovery.poison_news import PoisonNews
from savorychute.recovery.poison_record import NEVER_MS, PoisonRecord
from savorychute.recovery.poison_spread import PoisonSpread
from savorychute.recovery.poison_verdict import PoisonVerdict
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
    """Suspects by coincidence with crashes, convicts by elimination.

    A crash makes every request that ran on the endpoint a suspect.  A suspect
    runs again only on an endpoint where no other suspect of this instance
    runs, so a second crash points at one request per instance.  What instances
    tell each other within ``settle_ms`` shows whether several share both
    crashes; if so each is tried alone, in an order all agree on, and only on
    the endpoints that have crashed already.

    :param settings: times and bounds.
    :param instance: this instance.
    :param rng: chooses whom to tell.
    """

    def __init__(
        self, settings: QuarantineSettings, instance: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._records: OrderedDict[str, PoisonRecord] = OrderedDict()
        self._running: dict[str, tuple[str, str]] = {}
        self._blamed: list[tuple[int, PoisonRecord]] = []
        self._watch = CrashWatch(settings)
        self._lanes = SuspectLanes(instance, settings.lane_turn_ms)
        self._spread = PoisonSpread(settings, instance, rng)

    def __len__(self) -> int:
        return len(self._records)

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Take over the configured endpoints."""
        self._lanes.set_endpoints(documents)

    def verdict(self, fingerprint: str, now_ms: int) -> PoisonVerdict:
        """Return whether the request may run."""
        record = self._find(fingerprint, now_ms)
        if record is None or not record.crashes:
            return PoisonVerdict.CLEAR
        if record.quarantined:
            return PoisonVerdict.QUARANTINED
        if self._wait_ms(record, now_ms) > 0:
            return PoisonVerdict.HELD
        return PoisonVerdict.SUSPECT

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the request must not run any more."""
        return self.verdict(fingerprint, now_ms) is PoisonVerdict.QUARANTINED

    def held_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return after how many ms a held request may be tried again."""
        record = self._find(fingerprint, now_ms)
        return self._wait_ms(record, now_ms) if record is not None else 0

    def suspicion(self, fingerprint: str, now_ms: int) -> tuple[str, ...]:
        """Return the endpoints that crashed while the request ran there."""
        record = self._find(fingerprint, now_ms)
        return record.endpoints if record is not None else ()

    def preferred_endpoint(
        self, fingerprint: str, candidates: Sequence[str], now_ms: int
    ) -> str | None:
        """Return where a suspect is to run, or ``None`` if nowhere now.

        With one crash: an endpoint other than the one that crashed, so that a
        second crash is evidence; rather one that crashed lately than one that
        never did.  With two: only an endpoint that it may have crashed already,
        so that it takes down no third one.

        :param candidates: endpoints that could run the request.
        """
        if self.verdict(fingerprint, now_ms) is not PoisonVerdict.SUSPECT:
            return None
        record = self._records[fingerprint]
        busy = {endpoint for endpoint, _ in self._running.values()}
        free = [name for name in candidates if name not in busy]
        if self._is_running(fingerprint):
            return None
        if len(record.endpoints) >= 2:
            free = [name for name in free if name in record.endpoints]
        elif any(name not in record.endpoints for name in candidates):
            free = [name for name in free if name not in record.endpoints]
            free = self._keep_to_lanes(record, free, now_ms)
        return min(
            free,
            key=lambda name: self._rank(fingerprint, name, now_ms),
            default=None,
        )

    def _keep_to_lanes(
        self, record: PoisonRecord, free: list[str], now_ms: int
    ) -> list[str]:
        age_ms = now_ms - max(record.learned_ms.values())
        if age_ms > self._settings.lane_ms:
            return free
        return [name for name in free if self._lanes.is_own(name, age_ms)]

    def _rank(self, fingerprint: str, endpoint: str, now_ms: int) -> tuple[bool, int]:
        lately = self._watch.crashed_lately(endpoint, now_ms)
        return not lately, int(
            xxhash.xxh64_intdigest(f'{fingerprint} {endpoint}'.encode())
        )

    def _is_running(self, fingerprint: str) -> bool:
        return any(running == fingerprint for _, running in self._running.values())

    def started(
        self, fingerprint: str, attempt_id: str, endpoint: str, now_ms: int
    ) -> None:
        """Take note of an attempt; only those of suspects are remembered."""
        self._watch.use(endpoint, now_ms)
        record = self._find(fingerprint, now_ms)
        if record is not None and record.crashes:
            self._running[attempt_id] = (endpoint, fingerprint)

    def ended(self, fingerprint: str, attempt_id: str, ok: bool, now_ms: int) -> None:
        """Take note of an attempt's end without a crash.

        :param ok: whether the answer came whole, which lifts the suspicion.
        """
        self._running.pop(attempt_id, None)
        record = self._find(fingerprint, now_ms)
        if ok and record is not None and record.crashes and not record.quarantined:
            self._lift(record, now_ms)

    def release(self, fingerprint: str, now_ms: int) -> None:
        """Lift a quarantine at an operator's command."""
        record = self._find(fingerprint, now_ms)
        if record is not None and record.crashes:
            self._lift(record, now_ms)

    def _lift(self, record: PoisonRecord, now_ms: int) -> None:
        record.lift()
        record.set_lifetime(self._settings, now_ms)
        self._spread.add(record)

    def crashed(
        self, fingerprint: str, attempt_id: str, endpoint: str, now_ms: int
    ) -> None:
        """Blame a request that ran on an endpoint when it crashed.

        To be called for each such request, then :meth:`tick` at once, so that
        other instances know before the caller has sent the request again.
        """
        self._running.pop(attempt_id, None)
        if self._watch.crash(endpoint, now_ms):
            self._forgive(now_ms)
            return
        record = self._records.get(fingerprint)
        if record is None or record.until_ms <= now_ms:
            record = self._make_record(fingerprint)
        record.add_crash(endpoint, now_ms)
        record.own = True
        self._blamed.append((now_ms, record))
        self._hold(record, now_ms)
        self._spread.add(record)

    def _forgive(self, now_ms: int) -> None:
        start_ms = now_ms - self._settings.own_fault_window_ms
        for blamed_ms, record in self._blamed:
            if blamed_ms >= start_ms and record.crashes and not record.quarantined:
                self._lift(record, now_ms)
        self._blamed = []

    def _hold(self, record: PoisonRecord, now_ms: int) -> None:
        record.set_lifetime(self._settings, now_ms)
        if record.needs_conclusion and not record.quarantined:
            record.held_ms = now_ms
            record.ambiguous_ms = NEVER_MS

    def receive(self, sender: str, message: object, now_ms: int) -> list[Action]:
        """Take in another instance's news, and pass on what is new.

        :param sender: the instance that sent it.
        """
        if isinstance(message, PoisonDigest):
            return self._spread.answer(sender, message, self._records, now_ms)
        if not isinstance(message, PoisonNews):
            return []
        for entry in message.entries:
            record = self._records.get(entry.fingerprint)
            if record is None:
                record = self._make_record(entry.fingerprint)
            if not record.merge(entry, now_ms):
                continue
            self._hold(record, now_ms)
            record.until_ms = min(record.until_ms, now_ms + entry.lifetime_ms)
            self._spread.add(record)
        return self._spread.send(now_ms, besides=sender)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Draw conclusions that are due, and tell other instances.

        :param view: who is alive.
        """
        self._spread.set_view(view)
        self._lanes.set_view(view)
        self._blamed = self._blamed[-self._settings.fingerprints :]
        self._expire(now_ms)
        for record in list(self._records.values()):
            if self._is_settled(record, now_ms):
                self._conclude(record, now_ms)
        actions = self._spread.send(now_ms)
        actions += self._spread.compare(self._records, now_ms)
        return actions

    def _is_settled(self, record: PoisonRecord, now_ms: int) -> bool:
        if record.held_ms == NEVER_MS or record.ambiguous_ms != NEVER_MS:
            return False
        if record.quarantined:
            return False
        return now_ms - record.held_ms >= self._settings.settle_ms

    def _conclude(self, record: PoisonRecord, now_ms: int) -> None:
        rivals = self._find_rivals(record)
        if len(rivals) > 1 or self._is_doubtful(record):
            self._try_alone(rivals, now_ms)
            return
        settle_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        if not record.own and now_ms - record.held_ms < settle_ms:
            # The instance that saw the crash concludes; others do so only if
            # it does not, because it died.
            return
        record.quarantined = True
        record.held_ms = NEVER_MS
        record.set_lifetime(self._settings, now_ms)
        self._spread.add(record)
        if record.is_confirmed:
            self._reopen(record, now_ms)

    def _try_alone(self, rivals: list[PoisonRecord], now_ms: int) -> None:
        for turn, rival in enumerate(rivals):
            rival.ambiguous_ms = now_ms
            rival.turn = turn

    def _list_contenders(self, record: PoisonRecord) -> list[PoisonRecord]:
        """Return the others with two crashes, of which one is this one's too."""
        window_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        return [
            other
            for other in self._records.values()
            if other is not record
            and other.needs_conclusion
            and record.shared_crashes(other, window_ms)
        ]

    def _is_doubtful(self, record: PoisonRecord) -> bool:
        # Two poison requests at once: an innocent suspect of the first runs
        # where the second crashes an endpoint for the first time.  It has two
        # crashes to its name, and so has the first one, but they share only one.
        return not record.is_confirmed and bool(self._list_contenders(record))

    def _reopen(self, culprit: PoisonRecord, now_ms: int) -> None:
        """Try those alone that were convicted by a crash of the culprit."""
        for record in self._list_contenders(culprit):
            if record.quarantined and not record.is_confirmed:
                record.lift(record.endpoints)
                self._hold(record, now_ms)
                self._spread.add(record)

    def _find_rivals(self, record: PoisonRecord) -> list[PoisonRecord]:
        endpoints = frozenset(record.endpoints)
        window_ms = PEER_SETTLE_FACTOR * self._settings.settle_ms
        rivals = [
            other
            for other in self._records.values()
            if other.held_ms != NEVER_MS
            and abs(other.held_ms - record.held_ms) <= window_ms
            and frozenset(other.endpoints) == endpoints
        ]
        return sorted(rivals, key=lambda rival: rival.fingerprint)

    def _wait_ms(self, record: PoisonRecord, now_ms: int) -> int:
        if record.held_ms == NEVER_MS:
            return 0
        if record.ambiguous_ms == NEVER_MS:
            settle_ms = self._settings.settle_ms * PEER_SETTLE_FACTOR
            return max(1, record.held_ms + settle_ms - now_ms)
        before = [
            rival for rival in self._find_rivals(record) if rival.turn < record.turn
        ]
        if not before:
            return 0
        turn_ms = self._settings.turn_ms * record.turn
        return max(0, record.ambiguous_ms + turn_ms - now_ms)

    def _make_record(self, fingerprint: str) -> PoisonRecord:
        record = self._records[fingerprint] = PoisonRecord(fingerprint)
        if len(self._records) > self._settings.fingerprints:
            self._records.popitem(last=False)
        return record

    def _find(self, fingerprint: str, now_ms: int) -> PoisonRecord | None:
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
