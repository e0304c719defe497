"""What a home must assume of one holder of a share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.limits.settings import LimitSettings
    from savorychute.limits.share_report import ShareReport


class ShareOffer(NamedTuple):
    """A grant that may or may not have arrived."""

    sequence: int
    units: int
    ends_ms: int
    floor: int
    floor_ends_ms: int


class ShareRecord:
    """One holder's share of one organisation's limits.

    :param epoch: of the holder's run.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0
        self.received_ms = 0
        self.in_use = 0
        self.wanted = 0
        self.wants_spare = False
        self._applied = ShareOffer(0, 0, 0, 0, 0)
        self._offers: list[ShareOffer] = []

    def take_report(
        self, number: int, report: ShareReport, settings: LimitSettings, now_ms: int
    ) -> None:
        """Take in what the holder says.

        :param number: of the report.
        :param report: the part on this organisation.
        :param settings: how long what it holds may be in use.
        :param now_ms: the time.
        """
        self.number = number
        self.received_ms = now_ms
        self.in_use = report.in_use
        self.wanted = report.wanted
        self.wants_spare = report.wants_spare
        self._applied = ShareOffer(
            sequence=report.sequence,
            units=max(report.held, report.in_use),
            ends_ms=now_ms + settings.unknown_ms,
            floor=report.floor,
            floor_ends_ms=now_ms + report.floor_left_ms + settings.floor_tail_ms,
        )
        self._offers = [o for o in self._offers if o.sequence > report.sequence]

    def add_offer(self, offer: ShareOffer) -> None:
        """Note a grant that is sent.

        :param offer: the grant.
        """
        self._offers.append(offer)

    def committed(self, now_ms: int) -> int:
        """Return the most that the holder may use, or have in progress.

        :param now_ms: the time.
        """
        most = 0
        for offer in (self._applied, *self._offers):
            if now_ms < offer.ends_ms:
                most = max(most, offer.units)
            elif now_ms < offer.floor_ends_ms:
                most = max(most, offer.floor)
        return most

    def floor(self, now_ms: int) -> int:
        """Return the largest floor that may be in force.

        :param now_ms: the time.
        """
        return max(
            (
                o.floor
                for o in (self._applied, *self._offers)
                if now_ms < o.floor_ends_ms
            ),
            default=0,
        )

    def last_units(self) -> int:
        """Return the units of the newest grant, or what the report said."""
        return self._offers[-1].units if self._offers else self._applied.units

    def drop_ended(self, now_ms: int) -> None:
        """Forget grants of which nothing is in force.

        :param now_ms: the time.
        """
        self._offers = [
            o for o in self._offers if now_ms < max(o.ends_ms, o.floor_ends_ms)
        ]
