"""Enforcement of the organisations' limits on one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.limits.organisation_meter import OrganisationMeter
from savorychute.limits.share_handler import ShareHandler

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.inputs import ListingFetched
    from savorychute.limits.settings import LimitSettings
    from savorychute.membership import MemberView

EPOCH_BITS = 31


class _RequestUse(NamedTuple):
    organisation: str
    tokens: int


class OrganisationLimiter:
    """Limits each organisation on this instance to its share of the contract.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: random source for the epoch of this process run.
    """

    def __init__(
        self, settings: LimitSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        self._handler = ShareHandler(
            settings, instance, rng.getrandbits(EPOCH_BITS) | 1
        )
        self._meters: dict[str, OrganisationMeter] = {}
        self._uses: dict[str, _RequestUse] = {}
        self._now_ms = 0

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Replace the limits of all organisations; running requests stay counted.

        :param limits: limits by organisation.
        """
        for organisation, entry in limits.items():
            meter = self._meters.get(organisation)
            if meter is None:
                meter = OrganisationMeter(entry, self.settings, self._now_ms)
                self._meters[organisation] = meter
            meter.set_limits(entry, self._now_ms)
        self._meters = {
            name: kept for name, kept in self._meters.items() if name in limits
        }
        self._handler.set_meters(self._meters, self._now_ms)

    def check(self, organisation: str, tokens: int, now_ms: int) -> int:
        """Return 0 if a request may start, else the delay before a retry, in ms.

        :param organisation: organisation that sent the request.
        :param tokens: expected number of tokens.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        meter = self._meters.get(organisation)
        if meter is None:
            return self.settings.max_retry_after_ms
        meter.set_units(self._handler.units(organisation, now_ms), now_ms)
        return meter.wait_ms(tokens, now_ms)

    def start(
        self, organisation: str, request_id: str, tokens: int, now_ms: int
    ) -> None:
        """Count a request that starts.

        :param organisation: organisation that sent the request.
        :param request_id: identifier of the request.
        :param tokens: expected number of tokens.
        :param now_ms: the current time.
        """
        self._uses[request_id] = _RequestUse(organisation, tokens)
        meter = self._meters.get(organisation)
        if meter is not None:
            meter.start(tokens, now_ms)

    def finish(self, request_id: str, tokens_used: int, now_ms: int) -> None:
        """Settle the token usage of a request that has ended.

        :param request_id: identifier of the request; an unknown one is ignored.
        :param tokens_used: number of tokens that it used.
        :param now_ms: the current time.
        """
        use = self._uses.pop(request_id, None)
        meter = None if use is None else self._meters.get(use.organisation)
        if use is not None and meter is not None:
            meter.finish(use.tokens, tokens_used, now_ms)

    def apply_listing(self, listing: ListingFetched, now_ms: int) -> None:
        """Apply the platform's list of instances, unless it is invalid.

        A list that does not contain this instance is wrong or obsolete and is ignored.

        :param listing: the fetched list.
        :param now_ms: the current time.
        """
        listed = listing.leaving | {member.instance for member in listing.live}
        if listing.ok and self.instance in listed:
            self._handler.apply_listed(listed, now_ms)

    def set_demand(self, organisation: str, waiting: int) -> None:
        """Set how many requests of an organisation wait on this instance.

        :param organisation: name of the organisation.
        :param waiting: number of waiting requests.
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
        """Handle a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: the current membership view.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._handler.set_view(view, now_ms)
        return self._handler.receive(sender, message, view, now_ms)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Run the periodic work that is due.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        self._handler.set_view(view, now_ms)
        return self._handler.tick(view, now_ms)

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:
        """Return unused units before this instance leaves.

        :param view: the current membership view, without this instance.
        :param now_ms: the current time.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._handler.leave(view, now_ms)
