"""Ejection of failing endpoints, and their gradual readmission."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.recovery.endpoint_change import EndpointChange
from savorychute.recovery.endpoint_health import EndpointHealth
from savorychute.recovery.health_record import HealthRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.load_reported import LoadReported
    from savorychute.recovery.ejector_settings import EjectorSettings

LEAVING_STATES = frozenset({'leaving', 'draining', 'stopping', 'retired'})
JITTER_SHARE = 0.2


class Ejector:
    """Outlier ejection with a limit and slow start; also tracks leaving endpoints.

    Only failures cause an ejection.  A straggler does respond, though late, and
    is handled by the score of the router: removing its capacity would make a
    burst worse.

    :param settings: when to eject, for how long, and how many at most.
    :param rng: spreads readmissions, so that instances do not all probe at once.
    """

    def __init__(self, settings: EjectorSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._records: dict[str, HealthRecord] = {}
        self._members_by_pool: dict[str, set[str]] = {}
        self._changes: list[EndpointChange] = []

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Set the configured endpoints; the health of known ones is retained."""
        self._records = {
            name: self._records.get(name, HealthRecord(())) for name in documents
        }
        self._members_by_pool = {}
        for name, document in documents.items():
            pools = list_pools(document)
            self._records[name].groups = pools
            for pool in pools:
                self._members_by_pool.setdefault(pool, set()).add(name)

    def take_changes(self) -> list[EndpointChange]:
        """Return the changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def health_of(self, endpoint: str, now_ms: int) -> EndpointHealth:
        """Return the health of *endpoint*."""
        record = self._records.get(endpoint)
        if record is None:
            return EndpointHealth.EJECTED
        self._refresh(endpoint, record, now_ms)
        return record.health

    def is_allowed(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* may get requests at all."""
        health = self.health_of(endpoint, now_ms)
        return health in (EndpointHealth.HEALTHY, EndpointHealth.RAMPING)

    def admits(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* is a candidate for this one request.

        A ramping endpoint is a candidate for a growing share of requests.
        """
        if not self.is_allowed(endpoint, now_ms):
            return False
        share = self.ramp_share(endpoint, now_ms)
        return share >= 1 or self._rng.random() < share

    def ramp_share(self, endpoint: str, now_ms: int) -> float:
        """Return the share of its usual requests that *endpoint* may get, 0 to 1.

        A restarted engine has an empty cache and an empty queue.  With its full
        share at once it would attract all requests of all instances.
        """
        if not self.is_allowed(endpoint, now_ms):
            return 0.0
        record = self._records[endpoint]
        if record.health is EndpointHealth.HEALTHY:
            return 1.0
        share = (now_ms - record.since_ms) / self._settings.ramp_ms
        return min(1.0, max(self._settings.ramp_floor, share))

    def has_crashed_recently(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* has crashed recently."""
        record = self._records.get(endpoint)
        return record is not None and now_ms < record.suspect_until_ms

    def record_failure(self, endpoint: str, now_ms: int, crashed: bool) -> None:
        """Record a failed attempt.

        :param crashed: whether the connection broke or could not be established.
        """
        record = self._records.get(endpoint)
        if record is None:
            return
        self._refresh(endpoint, record, now_ms)
        record.count_outcome(failed=True)
        if crashed:
            lifetime_ms = self._settings.suspicion_lifetime_ms
            record.suspect_until_ms = now_ms + lifetime_ms
        if record.health in (EndpointHealth.EJECTED, EndpointHealth.LEAVING):
            return
        reason = self._ejection_reason(record, crashed)
        if reason and self._can_eject(endpoint, record, crashed, now_ms):
            self._eject(endpoint, record, crashed, reason, now_ms)

    def record_success(self, endpoint: str, now_ms: int) -> None:
        """Record an attempt with a complete answer."""
        record = self._records.get(endpoint)
        if record is None:
            return
        self._refresh(endpoint, record, now_ms)
        record.count_outcome(failed=False)

    def mark_leaving(self, endpoint: str, now_ms: int) -> None:
        """Stop new requests to *endpoint*, which announced that it is leaving."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.until_ms = now_ms + self._settings.leaving_grace_ms
        self._set_health(
            endpoint, record, EndpointHealth.LEAVING, 'it is leaving', now_ms
        )

    def apply_report(self, report: LoadReported, now_ms: int) -> None:
        """Update from a load report whether an endpoint is leaving or has returned.

        Reports are delayed.  One that was made before the refusal still says
        ``active``, so only a report made after it, by a margin, readmits the
        endpoint.
        """
        record = self._records.get(report.endpoint)
        if record is None:
            return
        if report.state in LEAVING_STATES:
            self.mark_leaving(report.endpoint, now_ms)
            return
        measured_ms = now_ms - max(0, report.age_ms)
        if record.health is EndpointHealth.LEAVING and measured_ms > record.until_ms:
            self._readmit(report.endpoint, record, 'a later report says so', now_ms)

    def _ejection_reason(self, record: HealthRecord, crashed: bool) -> str:
        settings = self._settings
        if crashed:
            return 'it crashed'
        if record.health is EndpointHealth.RAMPING:
            return 'it failed while returning'
        if record.consecutive >= settings.consecutive_failures:
            return f'{record.consecutive} failures in a row'
        share = record.failures / record.outcomes
        if (
            record.outcomes >= settings.failure_samples
            and share >= settings.failure_share
        ):
            return f'{share:.0%} of its attempts failed'
        return ''

    def _can_eject(
        self, endpoint: str, record: HealthRecord, crashed: bool, now_ms: int
    ) -> bool:
        # With most of a pool ejected, the rest would be overloaded, and with all
        # of it ejected, its recovery would not be detected.
        share = self._settings.ejected_share_max
        if crashed:
            share = self._settings.crashed_share_max
        for pool in record.groups:
            pool_members = self._members_by_pool[pool]
            ejected = 0
            for name in pool_members:
                other_record = self._records[name]
                self._refresh(name, other_record, now_ms)
                if name != endpoint and other_record.health is EndpointHealth.EJECTED:
                    ejected += 1
            if ejected + 1 > min(share * len(pool_members), len(pool_members) - 1):
                return False
        return True

    def _eject(
        self,
        endpoint: str,
        record: HealthRecord,
        crashed: bool,
        reason: str,
        now_ms: int,
    ) -> None:
        settings = self._settings
        duration_ms = settings.ejection_ms * 2.0**record.ejections
        duration_ms = min(duration_ms, settings.ejection_max_ms)
        duration_ms *= 1 + JITTER_SHARE * self._rng.random()
        record.until_ms = now_ms + int(duration_ms)
        record.ejections += 1
        record.crashed = crashed
        self._set_health(endpoint, record, EndpointHealth.EJECTED, reason, now_ms)

    def _refresh(self, endpoint: str, record: HealthRecord, now_ms: int) -> None:
        health = record.health
        lifetime_ms = self._settings.leaving_lifetime_ms
        if health is EndpointHealth.EJECTED and now_ms >= record.until_ms:
            self._readmit(endpoint, record, 'its time is over', now_ms)
        elif health is EndpointHealth.LEAVING and (
            now_ms >= record.until_ms + lifetime_ms
        ):
            self._readmit(endpoint, record, 'nothing was heard since', now_ms)
        elif health is EndpointHealth.RAMPING and (
            now_ms >= record.since_ms + self._settings.ramp_ms
        ):
            record.ejections = 0
            self._set_health(
                endpoint, record, EndpointHealth.HEALTHY, 'it has returned', now_ms
            )

    def _readmit(
        self, endpoint: str, record: HealthRecord, reason: str, now_ms: int
    ) -> None:
        record.reset()
        self._set_health(endpoint, record, EndpointHealth.RAMPING, reason, now_ms)

    def _set_health(
        self,
        endpoint: str,
        record: HealthRecord,
        health: EndpointHealth,
        reason: str,
        now_ms: int,
    ) -> None:
        if record.health is health:
            return
        change = EndpointChange(endpoint, record.health, health, now_ms, reason)
        self._changes.append(change)
        record.health = health
        record.since_ms = now_ms


def list_pools(document: EndpointDocument) -> tuple[str, ...]:
    """Return the pools that an endpoint serves, each with its own ejection limit.

    :param document: the endpoint.
    """
    service = document.get('service')
    if service:
        return (f'service:{service}',)
    return tuple(document.get('models', ()))
