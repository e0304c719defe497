"""The shares of all organisations' limits that an instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.limits.quorum_tracker import QuorumTracker
from savorychute.limits.share_holding import ShareHolding

if TYPE_CHECKING:
    from savorychute.limits.organisation_meter import OrganisationMeter
    from savorychute.limits.settings import LimitSettings


class ShareTable:
    """Meters and holdings by organisation, and the quorum of the members.

    Only organisations that are in use or have something to report are *active*; the
    others cause no work.

    :param settings: durations and shares.
    :param instance: this instance's name.
    :param epoch: epoch of this process run.
    """

    def __init__(self, settings: LimitSettings, instance: str, epoch: int) -> None:
        self.settings = settings
        self.instance = instance
        self.epoch = epoch
        self.quorum = QuorumTracker(instance, settings)
        self.meters: dict[str, OrganisationMeter] = {}
        self.holdings: dict[str, ShareHolding] = {}
        self.active: set[str] = set()
        self.vetoers: tuple[str, ...] = ()
        self.is_leaving = False

    def set_meters(self, meters: dict[str, OrganisationMeter]) -> None:
        """Replace the organisations.

        :param meters: meters by organisation.
        """
        self.meters = meters
        self.holdings = {
            organisation: self.holdings.get(organisation) or ShareHolding(organisation)
            for organisation in meters
        }
        self.active.update(meters)

    def update_vetoes(self) -> None:
        """Schedule reports to all homes if the known vetoers have changed."""
        vetoers = self.quorum.list_vetoers()
        if vetoers != self.vetoers:
            self.vetoers = vetoers
            self.schedule_all_reports()

    def schedule_all_reports(self) -> None:
        """Schedule a report on every organisation."""
        for holding in self.holdings.values():
            holding.must_report = True
        self.active.update(self.holdings)

    def is_recently_used(self, meter: OrganisationMeter, now_ms: int) -> bool:
        """Return whether an organisation was recently used on this instance.

        :param meter: meter of the organisation.
        :param now_ms: the current time.
        """
        is_recently_used = (
            0 <= meter.last_use_ms > now_ms - self.settings.spare_memory_ms
        )
        return (is_recently_used or meter.was_refused) and not self.is_leaving
