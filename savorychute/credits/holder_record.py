"""What a home knows of one holder of credits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.credits.group_report import GroupReport


class Offer(NamedTuple):
    """A grant that may or may not have arrived."""

    sequence: int
    expires_ms: int
    levels: dict[int, int]


class HolderRecord:
    """One instance's credits in one group, as its home must assume them.

    :param epoch: of the instance's run.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0
        self.received_ms = 0
        self.granted_ms = 0
        self.wants_spare = True
        self.running: tuple[int, ...] = ()
        self.waiting: tuple[int, ...] = ()
        self._held: dict[int, int] = {}
        self._in_use: dict[int, int] = {}
        self._held_until_ms = 0
        self._offers: list[Offer] = []

    def take_report(
        self, number: int, report: GroupReport, *, own_sequence: int, held_until_ms: int
    ) -> None:
        """Take in what the instance says.

        :param number: of the report.
        :param report: its part on this group.
        :param own_sequence: the last grant of this home that it applied.
        :param held_until_ms: until when it may use what it holds.
        """
        self.number = number
        self.wants_spare = report.wants_spare
        self.running = report.running
        self.waiting = report.waiting
        self._held = {use.endpoint: use.held for use in report.uses}
        self._in_use = {use.endpoint: use.in_use for use in report.uses}
        self._held_until_ms = held_until_ms
        self._offers = [o for o in self._offers if o.sequence > own_sequence]

    def add_offer(self, offer: Offer) -> None:
        """Note a grant that is sent.

        :param offer: the grant.
        """
        self._offers.append(offer)

    def committed(self, now_ms: int) -> dict[int, int]:
        """Return the most that the instance may run, by endpoint.

        Any grant that was sent and not yet acknowledged may be in force, or
        the one before it; what runs goes on running whatever is granted.

        :param now_ms: the time.
        """
        most = dict(self._in_use)
        if now_ms < self._held_until_ms:
            _raise_to(most, self._held)
        for offer in self._offers:
            if now_ms < offer.expires_ms:
                _raise_to(most, offer.levels)
        return most

    def last_levels(self) -> dict[int, int]:
        """Return the levels of the newest grant, or what the report said."""
        return self._offers[-1].levels if self._offers else self._held

    def drop_expired(self, now_ms: int) -> None:
        """Forget grants that are no longer in force.

        :param now_ms: the time.
        """
        self._offers = [o for o in self._offers if now_ms < o.expires_ms]


def _raise_to(most: dict[int, int], levels: dict[int, int]) -> None:
    for endpoint, level in levels.items():
        if level > most.get(endpoint, 0):
            most[endpoint] = level
