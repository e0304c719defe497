"""What an instance holds of all organisations' limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.limits.electorate import Electorate
from savorychute.limits.share_holding import ShareHolding

if TYPE_CHECKING:
    from savorychute.limits.organisation_meter import OrganisationMeter
    from savorychute.limits.settings import LimitSettings


class ShareBook:
    """Meters and holdings by organisation, and who may grant.

    Organisations that are used or have something to report are *awake*; the others
    cost nothing.

    :param settings: durations and shares.
    :param instance: this instance's name.
    :param epoch: of this instance's run.
    """

    def __init__(self, settings: LimitSettings, instance: str, epoch: int) -> None:
        self.settings = settings
        self.instance = instance
        self.epoch = epoch
        self.electorate = Electorate(instance, settings)
        self.meters: dict[str, OrganisationMeter] = {}
        self.holdings: dict[str, ShareHolding] = {}
        self.awake: set[str] = set()
        self.vetoers: tuple[str, ...] = ()
        self.is_leaving = False

    def set_meters(self, meters: dict[str, OrganisationMeter]) -> None:
        """Replace the organisations.

        :param meters: by organisation.
        """
        self.meters = meters
        self.holdings = {
            organisation: self.holdings.get(organisation) or ShareHolding(organisation)
            for organisation in meters
        }
        self.awake.update(meters)

    def follow_vetoes(self) -> None:
        """Report to all homes when this instance's vetoes change."""
        vetoers = self.electorate.list_vetoers()
        if vetoers != self.vetoers:
            self.vetoers = vetoers
            self.report_all()

    def report_all(self) -> None:
        """Report on every organisation at the next chance."""
        for holding in self.holdings.values():
            holding.must_report = True
        self.awake.update(self.holdings)

    def is_recent(self, meter: OrganisationMeter, now_ms: int) -> bool:
        """Return whether an organisation was used here of late.

        :param meter: of the organisation.
        :param now_ms: the time.
        """
        is_recent = 0 <= meter.used_ms > now_ms - self.settings.spare_memory_ms
        return (is_recent or meter.was_refused) and not self.is_leaving
