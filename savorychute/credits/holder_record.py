"""A home's conservative record of one holder of credits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.credits.group_report import GroupReport


class SentGrant(NamedTuple):
    """A grant that the holder may or may not have received."""

    sequence: int
    expires_ms: int
    levels: dict[int, int]


class HolderRecord:
    """The credits of one group that an instance may be using.

    :param epoch: epoch of the instance's process run.
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
        self._without_credit: dict[int, int] = {}
        self._held_until_ms = 0
        self._sent_grants: list[SentGrant] = []

    def apply_report(
        self, number: int, report: GroupReport, *, own_sequence: int, held_until_ms: int
    ) -> None:
        """Apply a report of the instance.

        :param number: number of the report.
        :param report: its part for this group.
        :param own_sequence: last grant of this home that the instance applied.
        :param held_until_ms: when the reported levels expire.
        """
        self.number = number
        self.wants_spare = report.wants_spare
        self.running = report.running
        self.waiting = report.waiting
        self._held = {use.endpoint: use.held for use in report.uses}
        self._in_use = {use.endpoint: use.in_use for use in report.uses}
        self._without_credit = {use.endpoint: use.without_credit for use in report.uses}
        self._held_until_ms = held_until_ms
        self._sent_grants = [
            grant for grant in self._sent_grants if grant.sequence > own_sequence
        ]

    def add_grant(self, grant: SentGrant) -> None:
        """Record a grant that is being sent.

        :param grant: the grant.
        """
        self._sent_grants.append(grant)

    def committed(self, now_ms: int) -> dict[int, int]:
        """Return the most that the instance may run, by endpoint.

        Any grant that was sent and is not yet acknowledged may be in force, or the one
        before it; running requests continue whatever is granted, and those without a
        credit are beside every grant.

        :param now_ms: the current time.
        """
        levels: dict[int, int] = {}
        if now_ms < self._held_until_ms:
            _raise_to(levels, self._held)
        for grant in self._sent_grants:
            if now_ms < grant.expires_ms:
                _raise_to(levels, grant.levels)
        for endpoint, count in self._without_credit.items():
            levels[endpoint] = levels.get(endpoint, 0) + count
        most = dict(self._in_use)
        _raise_to(most, levels)
        return most

    def last_levels(self) -> dict[int, int]:
        """Return the levels of the newest grant, or else the reported levels."""
        return self._sent_grants[-1].levels if self._sent_grants else self._held

    def drop_expired(self, now_ms: int) -> None:
        """Discard grants that have expired.

        :param now_ms: the current time.
        """
        self._sent_grants = [
            grant for grant in self._sent_grants if now_ms < grant.expires_ms
        ]


def _raise_to(most: dict[int, int], levels: dict[int, int]) -> None:
    for endpoint, level in levels.items():
        if level > most.get(endpoint, 0):
            most[endpoint] = level
