"""The record of a suspected request in one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.recovery.poison_entry import PoisonEntry

if TYPE_CHECKING:
    from savorychute.recovery.quarantine_settings import QuarantineSettings

NEVER_MS = -1


class PoisonRecord:
    """The crashes of one fingerprint, and the conclusion drawn from them.

    ``pending_since_ms`` is the time at which the last crash that requires a
    conclusion became known, ``ambiguous_since_ms`` the time at which other
    requests were found to share all its crashes, and ``turn`` its position
    among them.
    """

    __slots__ = (
        'ambiguous_since_ms',
        'crash_known_ms',
        'crashes',
        'endpoints',
        'fingerprint',
        'observed_here',
        'pending_since_ms',
        'quarantined',
        'round',
        'turn',
        'until_ms',
    )

    def __init__(self, fingerprint: str) -> None:
        self.fingerprint = fingerprint
        self.round = 0
        self.endpoints: tuple[str, ...] = ()
        self.crash_known_ms: dict[str, int] = {}
        self.crashes = 0
        self.quarantined = False
        self.until_ms = 0
        self.observed_here = False
        self.pending_since_ms = NEVER_MS
        self.ambiguous_since_ms = NEVER_MS
        self.turn = 0

    @property
    def needs_conclusion(self) -> bool:
        """Whether its crashes suffice for a quarantine.

        Two crashes on two different endpoints suffice.  If a pool has only one
        endpoint, three crashes there are required, because one unreliable
        engine may crash twice by itself.
        """
        return self.crashes >= 2 and self.crashes + len(self.endpoints) >= 4

    @property
    def is_confirmed(self) -> bool:
        """Whether it crashed an endpoint again when it was run alone."""
        return self.crashes > len(self.endpoints)

    def lift(self, retained: tuple[str, ...] = ()) -> None:
        """Lift the suspicion and start a new round.

        :param retained: the endpoints whose crashes still count.
        """
        self.round += 1
        self.endpoints = retained
        self.crashes = len(retained)
        self.crash_known_ms = {name: self.crash_known_ms[name] for name in retained}
        self.quarantined = False
        self.observed_here = False
        self.pending_since_ms = NEVER_MS
        self.ambiguous_since_ms = NEVER_MS

    def shared_crashes(self, other: PoisonRecord, window_ms: int) -> frozenset[str]:
        """Return the endpoints whose same crash coincided with both requests.

        :param other: the record of the other request.
        :param window_ms: the maximum time between two updates about one crash.
        """
        return frozenset(
            name
            for name, crash_known_ms in self.crash_known_ms.items()
            if name in other.crash_known_ms
            and abs(other.crash_known_ms[name] - crash_known_ms) <= window_ms
        )

    def add_crash(self, endpoint: str, now_ms: int) -> None:
        """Count a crash of *endpoint* while the request ran there."""
        self.crashes += 1
        if endpoint not in self.endpoints:
            self.endpoints = (*self.endpoints, endpoint)
            self.crash_known_ms[endpoint] = now_ms

    def merge(self, entry: PoisonEntry, now_ms: int) -> bool:
        """Merge the entry of another instance; return whether it was new.

        Entries form a lattice: a higher round replaces a lower one, and within
        a round endpoints are united and counts only grow.  Instances therefore
        converge, whatever the order and the number of the updates.
        """
        if entry.round < self.round:
            return False
        previous_state = self.state()
        if entry.round > self.round:
            self.lift()
            self.round = entry.round
        new_endpoints = tuple(
            name for name in entry.endpoints if name not in self.endpoints
        )
        self.endpoints += new_endpoints
        for name in new_endpoints:
            self.crash_known_ms[name] = now_ms
        self.crashes = max(self.crashes, entry.crashes, len(self.endpoints))
        self.quarantined = self.quarantined or entry.quarantined
        return self.state() != previous_state

    def state(self) -> tuple[int, frozenset[str], int, bool]:
        """Return the state that instances must agree on."""
        return self.round, frozenset(self.endpoints), self.crashes, self.quarantined

    def make_entry(self, now_ms: int) -> PoisonEntry:
        """Return the entry to send to other instances."""
        return PoisonEntry(
            self.fingerprint,
            self.round,
            self.endpoints,
            self.crashes,
            self.quarantined,
            max(0, self.until_ms - now_ms),
        )

    def digest(self) -> int:
        """Return a hash of the state that instances must agree on."""
        endpoints = ','.join(sorted(self.endpoints))
        text = f'{self.fingerprint} {self.round} {endpoints} {self.crashes}'
        return int(xxhash.xxh64_intdigest(f'{text} {self.quarantined}'.encode())) >> 1

    def set_lifetime(self, settings: QuarantineSettings, now_ms: int) -> None:
        """Set the expiry for a suspicion or a quarantine."""
        lifetime_ms = settings.suspicion_lifetime_ms
        if self.quarantined:
            lifetime_ms = settings.quarantine_lifetime_ms
        self.until_ms = now_ms + lifetime_ms
