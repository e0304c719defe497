"""The credits that one instance holds and uses of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.credits.endpoint_use import EndpointUse
from savorychute.credits.group_report import GroupReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.credits.endpoint_group import EndpointGroup
    from savorychute.credits.group_grant import GroupGrant


#: Share of its reported use that an instance must have freed to report this at once.
MIN_FREED_SHARE = 0.25


class AttemptUse(NamedTuple):
    """One attempt's use of an endpoint.

    An attempt without a credit resumes a stream of a lost instance, under the credit
    that is reserved for that instance.
    """

    group: str
    endpoint: int
    tier: int
    tokens: int
    has_credit: bool = True


class GroupHolding:
    """Levels granted by the group's home, and the requests that run under them.

    :param group: the group of endpoints.
    :param grant_ms: how long a grant is valid.
    """

    def __init__(self, group: EndpointGroup, grant_ms: int) -> None:
        self.group = group
        self.grant_ms = grant_ms
        self.home = ''
        self.home_epoch = 0
        self.sequence = 0
        self.pressing_tier = -1
        self.report_interval_ms = 0
        self.must_report = False
        self.reported_ms: int | None = None
        self.reported_waiting: tuple[int, ...] = ()
        self.in_use: dict[int, int] = {}
        self.running: dict[int, int] = {}
        self.tokens: dict[int, int] = {}
        self._without_credit: dict[int, int] = {}
        self._reported_in_use: dict[int, int] = {}
        self._levels: dict[int, int] = {}
        self._expires_ms = 0
        self._no_response_since_ms: int | None = None

    @property
    def is_used(self) -> bool:
        """Whether any request is running."""
        return any(self.in_use.values())

    def set_home(self, home: str) -> None:
        """Change the home; the current credits stay valid until they expire.

        :param home: name of the new home.
        """
        if home != self.home:
            self.home = home
            self._no_response_since_ms = None
            self.home_epoch = 0
            self.sequence = 0
            self.must_report = True

    def level(self, endpoint: int, now_ms: int) -> int | None:
        """Return the granted level, or ``None`` if no grant is in force.

        :param endpoint: hash of the endpoint name.
        :param now_ms: the current time.
        """
        if now_ms >= self._expires_ms:
            return None
        return self._levels.get(endpoint, 0)

    def count_without_credit(self, endpoint: int) -> int:
        """Return how many attempts run at an endpoint without a credit.

        :param endpoint: hash of the endpoint name.
        """
        return self._without_credit.get(endpoint, 0)

    def used_credits(self, endpoint: int) -> int:
        """Return how many credits of an endpoint are in use.

        :param endpoint: hash of the endpoint name.
        """
        return self.in_use.get(endpoint, 0) - self.count_without_credit(endpoint)

    def has_freed_credit(self, now_ms: int) -> bool:
        """Return whether enough reclaimed credit has become free since the report.

        :param now_ms: the current time.
        """
        freed = 0
        for endpoint, reported in self._reported_in_use.items():
            level = self.level(endpoint, now_ms) or 0
            in_use = self.in_use.get(endpoint, 0)
            freed += max(0, reported - max(level, in_use))
        minimum = MIN_FREED_SHARE * sum(self._reported_in_use.values())
        return freed > 0 and freed >= minimum

    def is_home_unresponsive(self, now_ms: int) -> bool:
        """Return whether the home has not responded for the duration of a grant.

        :param now_ms: the current time.
        """
        if self._no_response_since_ms is None or now_ms < self._expires_ms:
            return False
        return now_ms - self._no_response_since_ms >= self.grant_ms

    def apply(self, home_epoch: int, grant: GroupGrant, expires_ms: int) -> bool:
        """Put a grant in force; return whether it was new.

        :param home_epoch: epoch of the home's process run.
        :param grant: grant by the home of this group.
        :param expires_ms: expiry time, counted from the report to which the grant
            responds, so that the grant expires here before it expires in the home's
            records.
        """
        if home_epoch == self.home_epoch and grant.sequence <= self.sequence:
            return False
        self.home_epoch = home_epoch
        self.sequence = grant.sequence
        self.pressing_tier = grant.pressing_tier
        self.report_interval_ms = grant.report_interval_ms
        self._no_response_since_ms = None
        self._levels = {entry.endpoint: entry.level for entry in grant.levels}
        self._expires_ms = expires_ms
        self.must_report = self.must_report or grant.must_acknowledge
        return True

    def release_unused(self) -> None:
        """Give up all credits but those in use."""
        self._levels = {
            endpoint: min(level, self.used_credits(endpoint))
            for endpoint, level in self._levels.items()
        }

    def start(self, use: AttemptUse) -> None:
        """Count an attempt.

        :param use: what it uses.
        """
        self._adjust_counts(use, 1)

    def end(self, use: AttemptUse) -> None:
        """Stop counting an attempt.

        :param use: what it used.
        """
        self._adjust_counts(use, -1)

    def list_running(self) -> tuple[int, ...]:
        """Return the number of running requests by tier, starting at tier 0."""
        return to_tier_counts(self.running)

    def build_report(
        self, waiting: Sequence[int], now_ms: int, *, wants_spare: bool
    ) -> GroupReport:
        """Return the report to the home.

        :param waiting: number of waiting requests by tier.
        :param now_ms: the current time.
        :param wants_spare: whether spare credit beyond the demand is wanted.
        """
        if self._no_response_since_ms is None:
            self._no_response_since_ms = now_ms
        self._reported_in_use = {
            key: count for key, count in self.in_use.items() if count > 0
        }
        uses = []
        for endpoint in self.group.names:
            held = self.level(endpoint, now_ms) or 0
            in_use = self.in_use.get(endpoint, 0)
            if held or in_use:
                without_credit = self.count_without_credit(endpoint)
                uses.append(EndpointUse(endpoint, held, in_use, without_credit))
        return GroupReport(
            group=self.group.number,
            home_epoch=self.home_epoch,
            sequence=self.sequence,
            wants_spare=wants_spare,
            running=self.list_running(),
            waiting=tuple(waiting),
            uses=tuple(uses),
        )

    def _adjust_counts(self, use: AttemptUse, step: int) -> None:
        endpoint, tier = use.endpoint, use.tier
        self.in_use[endpoint] = self.in_use.get(endpoint, 0) + step
        self.running[tier] = self.running.get(tier, 0) + step
        if use.has_credit:
            self.tokens[endpoint] = self.tokens.get(endpoint, 0) + step * use.tokens
        else:
            count = self.count_without_credit(endpoint) + step
            self._without_credit[endpoint] = count


def to_tier_counts(by_tier: dict[int, int]) -> tuple[int, ...]:
    """Return counts starting at tier 0, without zeros at the end.

    :param by_tier: counts by tier.
    """
    tiers = [tier for tier, count in by_tier.items() if count > 0]
    return tuple(by_tier.get(tier, 0) for tier in range(max(tiers, default=-1) + 1))
