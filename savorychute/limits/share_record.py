"""A home's conservative record of one holder of a share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.limits.settings import LimitSettings
    from savorychute.limits.share_report import ShareReport


class ShareCommitment(NamedTuple):
    """Units that a holder may have: a reported share, or a grant sent since."""

    sequence: int
    units: int
    ends_ms: int
    floor: int
    floor_ends_ms: int


class ShareRecord:
    """One holder's share of one organisation's limits.

    :param epoch: epoch of the holder's process run.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0
        self.received_ms = 0
        self.in_use = 0
        self.wanted = 0
        self.wants_spare = False
        self._applied = ShareCommitment(0, 0, 0, 0, 0)
        self._sent_commitments: list[ShareCommitment] = []

    def apply_report(
        self, number: int, report: ShareReport, settings: LimitSettings, now_ms: int
    ) -> None:
        """Apply a report of the holder.

        :param number: number of the report.
        :param report: its part for this organisation.
        :param settings: durations for which the reported share may be in use.
        :param now_ms: the current time.
        """
        self.number = number
        self.received_ms = now_ms
        self.in_use = report.in_use
        self.wanted = report.wanted
        self.wants_spare = report.wants_spare
        self._applied = ShareCommitment(
            sequence=report.sequence,
            units=max(report.held, report.in_use),
            ends_ms=now_ms + settings.unreported_use_ms,
            floor=report.floor,
            floor_ends_ms=now_ms + report.floor_left_ms + settings.floor_overrun_ms,
        )
        self._sent_commitments = [
            commitment
            for commitment in self._sent_commitments
            if commitment.sequence > report.sequence
        ]

    def add_commitment(self, commitment: ShareCommitment) -> None:
        """Record a grant that is being sent.

        :param commitment: the units that it grants.
        """
        self._sent_commitments.append(commitment)

    def committed(self, now_ms: int) -> int:
        """Return the most that the holder may use or have in progress.

        :param now_ms: the current time.
        """
        most = 0
        for commitment in (self._applied, *self._sent_commitments):
            if now_ms < commitment.ends_ms:
                most = max(most, commitment.units)
            elif now_ms < commitment.floor_ends_ms:
                most = max(most, commitment.floor)
        return most

    def floor(self, now_ms: int) -> int:
        """Return the largest floor that may be in force.

        :param now_ms: the current time.
        """
        return max(
            (
                commitment.floor
                for commitment in (self._applied, *self._sent_commitments)
                if now_ms < commitment.floor_ends_ms
            ),
            default=0,
        )

    def last_units(self) -> int:
        """Return the units of the newest grant, or else the reported units."""
        return (
            self._sent_commitments[-1].units
            if self._sent_commitments
            else self._applied.units
        )

    def drop_expired(self, now_ms: int) -> None:
        """Discard grants that have expired together with their floors.

        :param now_ms: the current time.
        """
        self._sent_commitments = [
            commitment
            for commitment in self._sent_commitments
            if now_ms < max(commitment.ends_ms, commitment.floor_ends_ms)
        ]
