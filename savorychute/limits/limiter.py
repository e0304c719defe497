"""An organisation's limits on one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.limits.organisation_meter import OrganisationMeter
from savorychute.limits.share_desk import ShareDesk

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.inputs import ListingFetched
    from savorychute.limits.settings import LimitSettings
    from savorychute.membership import MemberView

EPOCH_BITS = 31


class _Use(NamedTuple):
    organisation: str
    tokens: int


class OrganisationLimiter:
    """Holds each organisation to its share of the contract on this instance.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: the source of this run's epoch.
    """

    def __init__(
        self, settings: LimitSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        self._desk = ShareDesk(settings, instance, rng.getrandbits(EPOCH_BITS) | 1)
        self._meters: dict[str, OrganisationMeter] = {}
        self._uses: dict[str, _Use] = {}
        self._now_ms = 0

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Replace the limits of all organisations; what runs stays counted.

        :param limits: by organisation.
        """
        for organisation, entry in limits.items():
            meter = self._meters.get(organisation)
            if meter is None:
                meter = OrganisationMeter(entry, self.settings, self._now_ms)
                self._meters[organisation] = meter
            meter.set_limits(entry, self._now_ms)
        self._meters = {c: m for c, m in self._meters.items() if c in limits}
        self._desk.set_meters(self._meters, self._now_ms)

    def check(self, organisation: str, tokens: int, now_ms: int) -> int:
        """Return 0 if a request may start, else when to ask again, in ms.

        :param organisation: whose request it is.
        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        meter = self._meters.get(organisation)
        if meter is None:
            return self.settings.max_retry_after_ms
        meter.set_units(self._desk.units(organisation, now_ms), now_ms)
        return meter.wait_ms(tokens, now_ms)

    def start(
        self, organisation: str, request_id: str, tokens: int, now_ms: int
    ) -> None:
        """Count a request that starts.

        :param organisation: whose request it is.
        :param request_id: the request.
        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        self._uses[request_id] = _Use(organisation, tokens)
        meter = self._meters.get(organisation)
        if meter is not None:
            meter.start(tokens, now_ms)

    def finish(self, request_id: str, tokens_used: int, now_ms: int) -> None:
        """Settle a request that has ended.

        :param request_id: the request; an unknown one is ignored.
        :param tokens_used: what it has used in fact.
        :param now_ms: the time.
        """
        use = self._uses.pop(request_id, None)
        meter = None if use is None else self._meters.get(use.organisation)
        if use is not None and meter is not None:
            meter.finish(use.tokens, tokens_used, now_ms)

    def apply_listing(self, listing: ListingFetched, now_ms: int) -> None:
        """Follow the platform's list, if it can be right.

        A list without this instance is wrong or too old to conclude from.

        :param listing: the list.
        :param now_ms: the time.
        """
        listed = listing.leaving | {member.instance for member in listing.live}
        if listing.ok and self.instance in listed:
            self._desk.follow_list(listed, now_ms)

    def set_demand(self, organisation: str, waiting: int) -> None:
        """Note how many requests of an organisation wait here.

        :param organisation: whose requests they are.
        :param waiting: their number.
        """
        meter = self._meters.get(organisation)
        if meter is not None:
            meter.waiting = waiting

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        now_ms: int,
    ) -> list[Action]:
        """Take in a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: who is alive.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._desk.set_view(view, now_ms)
        return self._desk.receive(sender, message, view, now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Do what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._desk.set_view(view, now_ms)
        return self._desk.tick(view, now_ms)

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return what is unused, before this instance goes.

        :param view: who is alive, without this instance.
        :param now_ms: the time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._desk.leave(view, now_ms)
