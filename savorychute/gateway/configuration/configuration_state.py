"""The version of the configuration that is in force at one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.route_table import RouteTable

if TYPE_CHECKING:
    from savorychute.gateway.configuration.deployment import Deployment

NEVER_MS = -(1 << 60)


class ConfigurationState:
    """The newest configuration that was read, and how old that knowledge is.

    A version is never replaced by an older one.  ``confirmed_ms`` is when the last
    read began that showed nothing newer: what the store accepted before that moment
    is known here.  An instance that the store turns away cannot know of a key that was
    taken back meanwhile, so beyond ``key_trust_ms`` it accepts no keys.

    :param key_trust_ms: for how long after the last confirmation keys are accepted;
        None for always.
    :param fresh_ms: for how long absence of a route or key is taken for a fact.
    """

    def __init__(self, key_trust_ms: int | None, fresh_ms: int) -> None:
        self.table: RouteTable | None = None
        self.confirmed_ms = NEVER_MS
        self.key_trust_ms = key_trust_ms
        self._fresh_ms = fresh_ms

    @property
    def version(self) -> int:
        """The version in force, or -1 for none."""
        return self.table.version if self.table is not None else -1

    def apply(self, deployment: Deployment) -> bool:
        """Put a version in force; return false for one that is not newer.

        :param deployment: the version that was read.
        """
        if deployment.version <= self.version:
            return False
        self.table = RouteTable(deployment)
        return True

    def confirm(self, read_began_ms: int) -> None:
        """Note that a read which began then has shown the newest version.

        :param read_began_ms: when the read was sent, not when it was answered: a
            change may have been accepted in between.
        """
        self.confirmed_ms = max(self.confirmed_ms, read_began_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the configuration was last known to be the newest."""
        return now_ms - self.confirmed_ms

    def trusts_keys(self, now_ms: int) -> bool:
        """Return whether a key of the table may still be accepted.

        :param now_ms: the time.
        """
        bound_ms = self.key_trust_ms
        return bound_ms is None or self.age_ms(now_ms) <= bound_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether a route that is missing here is missing for good.

        A stale instance would answer 404 for a route that was added meanwhile, and a
        caller does not repeat such a request elsewhere.

        :param now_ms: the time.
        """
        return self.age_ms(now_ms) <= self._fresh_ms
