"""What one instance knows of a suspected request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.recovery.poison_entry import PoisonEntry

if TYPE_CHECKING:
    from savorychute.recovery.quarantine_settings import QuarantineSettings

NEVER_MS = -1


class PoisonRecord:
    """The crashes of one fingerprint, and what was concluded from them.

    ``held_ms`` is when the last crash that calls for a conclusion became known,
    ``ambiguous_ms`` when it turned out that other requests share all its
    crashes, ``turn`` its place among those.
    """

    __slots__ = (
        'ambiguous_ms',
        'crashes',
        'endpoints',
        'fingerprint',
        'held_ms',
        'learned_ms',
        'own',
        'quarantined',
        'round',
        'turn',
        'until_ms',
    )

    def __init__(self, fingerprint: str) -> None:
        self.fingerprint = fingerprint
        self.round = 0
        self.endpoints: tuple[str, ...] = ()
        self.learned_ms: dict[str, int] = {}
        self.crashes = 0
        self.quarantined = False
        self.until_ms = 0
        self.own = False
        self.held_ms = NEVER_MS
        self.ambiguous_ms = NEVER_MS
        self.turn = 0

    @property
    def needs_conclusion(self) -> bool:
        """Whether its crashes suffice for a quarantine.

        Two crashes on two different endpoints do.  Where a pool has but one
        endpoint, three there do: one flaky engine crashes twice by itself.
        """
        return self.crashes >= 2 and self.crashes + len(self.endpoints) >= 4

    @property
    def is_confirmed(self) -> bool:
        """Whether it crashed an endpoint again when it was tried alone."""
        return self.crashes > len(self.endpoints)

    def lift(self, kept: tuple[str, ...] = ()) -> None:
        """Drop the suspicion, as a new round.

        :param kept: endpoints whose crashes are still held against it.
        """
        self.round += 1
        self.endpoints = kept
        self.crashes = len(kept)
        self.learned_ms = {name: self.learned_ms[name] for name in kept}
        self.quarantined = False
        self.own = False
        self.held_ms = NEVER_MS
        self.ambiguous_ms = NEVER_MS

    def shared_crashes(self, other: PoisonRecord, window_ms: int) -> frozenset[str]:
        """Return the endpoints whose same crash both coincided with.

        :param other: another request.
        :param window_ms: how far apart news of one crash may arrive.
        """
        return frozenset(
            name
            for name, learned_ms in self.learned_ms.items()
            if name in other.learned_ms
            and abs(other.learned_ms[name] - learned_ms) <= window_ms
        )

    def add_crash(self, endpoint: str, now_ms: int) -> None:
        """Count a crash of *endpoint* while the request ran there."""
        self.crashes += 1
        if endpoint not in self.endpoints:
            self.endpoints = (*self.endpoints, endpoint)
            self.learned_ms[endpoint] = now_ms

    def merge(self, entry: PoisonEntry, now_ms: int) -> bool:
        """Take in another instance's entry; true if it said anything new.

        Entries form a lattice: a higher round replaces, and within a round
        endpoints are united and counts only grow.  So instances agree in the
        end, whatever the order and however often news arrive.
        """
        if entry.round < self.round:
            return False
        before = self.state()
        if entry.round > self.round:
            self.lift()
            self.round = entry.round
        new = tuple(name for name in entry.endpoints if name not in self.endpoints)
        self.endpoints += new
        for name in new:
            self.learned_ms[name] = now_ms
        self.crashes = max(self.crashes, entry.crashes, len(self.endpoints))
        self.quarantined = self.quarantined or entry.quarantined
        return self.state() != before

    def state(self) -> tuple[int, frozenset[str], int, bool]:
        """Return what instances have to agree on."""
        return self.round, frozenset(self.endpoints), self.crashes, self.quarantined

    def entry(self, now_ms: int) -> PoisonEntry:
        """Return what to tell other instances."""
        return PoisonEntry(
            self.fingerprint,
            self.round,
            self.endpoints,
            self.crashes,
            self.quarantined,
            max(0, self.until_ms - now_ms),
        )

    def digest(self) -> int:
        """Return a hash of what instances have to agree on."""
        endpoints = ','.join(sorted(self.endpoints))
        text = f'{self.fingerprint} {self.round} {endpoints} {self.crashes}'
        return int(xxhash.xxh64_intdigest(f'{text} {self.quarantined}'.encode())) >> 1

    def set_lifetime(self, settings: QuarantineSettings, now_ms: int) -> None:
        """Keep the record as long as what it says calls for."""
        lifetime_ms = settings.suspicion_lifetime_ms
        if self.quarantined:
            lifetime_ms = settings.quarantine_lifetime_ms
        self.until_ms = now_ms + lifetime_ms
