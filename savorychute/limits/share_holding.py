"""An instance's share of one organisation's limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.limits.share_report import ShareReport

if TYPE_CHECKING:
    from savorychute.limits.share_grant import ShareGrant


class ShareHolding:
    """The units granted by the home, with their expiry times.

    :param organisation: name of the organisation.
    """

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.home = ''
        self.home_epoch = 0
        self.sequence = 0
        self.must_report = False
        self.reported_ms: int | None = None
        self.reported_wanted = 0
        self.reported_in_use = 0
        self._units = 0
        self._expires_ms = 0
        self._floor = 0
        self._floor_ends_ms = 0

    def set_home(self, home: str) -> None:
        """Change the home; the current share stays valid until it expires.

        :param home: name of the new home, or empty if there is none.
        """
        if home != self.home:
            self.home = home
            self.home_epoch = 0
            self.sequence = 0
            self.must_report = True

    def units(self, now_ms: int) -> int:
        """Return how many units may be used.

        :param now_ms: the current time.
        """
        if now_ms < self._expires_ms:
            return self._units
        return self._floor if now_ms < self._floor_ends_ms else 0

    def floor(self, now_ms: int) -> int:
        """Return how many units remain valid without a renewal.

        :param now_ms: the current time.
        """
        return self._floor if now_ms < self._floor_ends_ms else 0

    def has_freed_units(self, in_use: int, now_ms: int) -> bool:
        """Return whether reclaimed units have become free since the last report.

        :param in_use: number of requests in progress.
        :param now_ms: the current time.
        """
        return in_use < self.reported_in_use > self.units(now_ms)

    def apply(
        self, home_epoch: int, grant: ShareGrant, expires_ms: int, floor_ends_ms: int
    ) -> None:
        """Put a grant in force, unless it is older than the last one.

        :param home_epoch: epoch of the home's process run.
        :param grant: grant by the home of this organisation.
        :param expires_ms: when the units expire.
        :param floor_ends_ms: when the floor expires.
        """
        if home_epoch == self.home_epoch and grant.sequence <= self.sequence:
            return
        self.home_epoch = home_epoch
        self.sequence = grant.sequence
        self.must_report = self.must_report or grant.must_acknowledge
        self._units = grant.units
        self._expires_ms = expires_ms
        self._floor = grant.floor
        self._floor_ends_ms = floor_ends_ms

    def retain_floor(self, floor: int, ends_ms: int) -> None:
        """Retain a floor of the units that this instance held as the home.

        :param floor: number of units.
        :param ends_ms: when the floor expires.
        """
        self._units = floor
        self._expires_ms = 0
        self._floor = floor
        self._floor_ends_ms = ends_ms

    def shrink_to(self, in_use: int) -> None:
        """Give up all units but those in use.

        :param in_use: number of units that are still in use.
        """
        self._units = min(self._units, in_use)
        self._floor = min(self._floor, in_use)

    def build_report(
        self, in_use: int, wanted: int, now_ms: int, *, wants_spare: bool
    ) -> ShareReport:
        """Return the report to the home.

        :param in_use: number of requests in progress.
        :param wanted: number of units that the demand needs.
        :param now_ms: the current time.
        :param wants_spare: whether spare units beyond that are wanted.
        """
        self.must_report = False
        self.reported_ms = now_ms
        self.reported_wanted = wanted
        self.reported_in_use = in_use
        return ShareReport(
            organisation=self.organisation,
            home_epoch=self.home_epoch,
            sequence=self.sequence,
            held=self.units(now_ms),
            floor=self.floor(now_ms),
            floor_left_ms=max(0, self._floor_ends_ms - now_ms),
            in_use=in_use,
            wanted=wanted,
            wants_spare=wants_spare,
        )
