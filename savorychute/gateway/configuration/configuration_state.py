"""The version of the configuration that is in force at one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.route_table import RouteTable

if TYPE_CHECKING:
    from savorychute.gateway.configuration.deployment import Deployment

NEVER_CONFIRMED_MS = -(1 << 60)


class ConfigurationState:
    """The newest configuration that was read, and when it was last confirmed.

    A version is never replaced by an older one.  ``confirmed_ms`` is the start of the
    last read that returned nothing newer: whatever the store accepted before that time
    is known here.  An instance that cannot read the store does not learn of revoked
    keys, so beyond ``key_trust_ms`` it accepts no keys.

    :param key_trust_ms: how long after the last confirmation keys are accepted; None
        for always.
    :param fresh_ms: how long after the last confirmation a missing route or key is
        known not to exist.
    """

    def __init__(self, key_trust_ms: int | None, fresh_ms: int) -> None:
        self.table: RouteTable | None = None
        self.confirmed_ms = NEVER_CONFIRMED_MS
        self.key_trust_ms = key_trust_ms
        self._fresh_ms = fresh_ms

    @property
    def version(self) -> int:
        """The version in force, or -1 if there is none."""
        return self.table.version if self.table is not None else -1

    def apply(self, deployment: Deployment) -> bool:
        """Put a version in force; return false if it is not newer.

        :param deployment: the version that was read.
        """
        if deployment.version <= self.version:
            return False
        self.table = RouteTable(deployment)
        return True

    def confirm(self, read_started_ms: int) -> None:
        """Record that a read has returned the newest version.

        :param read_started_ms: when the read was sent, not when its response arrived: a
            change may have been accepted in between.
        """
        self.confirmed_ms = max(self.confirmed_ms, read_started_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the configuration was last known to be the newest."""
        return now_ms - self.confirmed_ms

    def trusts_keys(self, now_ms: int) -> bool:
        """Return whether keys of the current version may still be accepted.

        :param now_ms: the current time.
        """
        trust_ms = self.key_trust_ms
        return trust_ms is None or self.age_ms(now_ms) <= trust_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether a route that is missing here is known not to exist.

        A stale instance would respond with 404 for a route that was added meanwhile,
        and callers do not retry such a request at another instance.

        :param now_ms: the current time.
        """
        return self.age_ms(now_ms) <= self._fresh_ms
