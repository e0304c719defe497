"""Ejects endpoints that fail, and lets them return slowly."""

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
    """Outlier ejection with a cap, slow start, and the leaving.

    Only failures eject.  A straggler answers, if late, and is left to the
    router's score: taking its capacity away would make a burst worse.

    :param settings: when to eject, for how long, and how many at most.
    :param rng: spreads returns, so that instances do not probe all at once.
    """

    def __init__(self, settings: EjectorSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._records: dict[str, HealthRecord] = {}
        self._members: dict[str, set[str]] = {}
        self._changes: list[EndpointChange] = []

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Take over the configured endpoints; their health is kept."""
        self._records = {
            name: self._records.get(name, HealthRecord(())) for name in documents
        }
        self._members = {}
        for name, document in documents.items():
            groups = list_groups(document)
            self._records[name].groups = groups
            for group in groups:
                self._members.setdefault(group, set()).add(name)

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

    def allowed(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* may get work at all."""
        health = self.health_of(endpoint, now_ms)
        return health in (EndpointHealth.HEALTHY, EndpointHealth.RAMPING)

    def admits(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* is a candidate for this one request.

        A ramping endpoint is a candidate for a growing share of requests.
        """
        if not self.allowed(endpoint, now_ms):
            return False
        share = self.ramp(endpoint, now_ms)
        return share >= 1 or self._rng.random() < share

    def ramp(self, endpoint: str, now_ms: int) -> float:
        """Return the share of its usual work that *endpoint* may get, 0 to 1.

        A restarted engine has an empty cache and an empty queue.  With its full
        share at once it would draw all requests of all instances.
        """
        if not self.allowed(endpoint, now_ms):
            return 0.0
        record = self._records[endpoint]
        if record.health is EndpointHealth.HEALTHY:
            return 1.0
        share = (now_ms - record.since_ms) / self._settings.ramp_ms
        return min(1.0, max(self._settings.ramp_floor, share))

    def suspect(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* crashed lately."""
        record = self._records.get(endpoint)
        return record is not None and now_ms < record.suspect_until_ms

    def failed(self, endpoint: str, now_ms: int, crashed: bool) -> None:
        """Count a failed attempt.

        :param crashed: whether the connection broke or could not be made.
        """
        record = self._records.get(endpoint)
        if record is None:
            return
        self._refresh(endpoint, record, now_ms)
        record.count(failed=True)
        if crashed:
            lifetime_ms = self._settings.suspicion_lifetime_ms
            record.suspect_until_ms = now_ms + lifetime_ms
        if record.health in (EndpointHealth.EJECTED, EndpointHealth.LEAVING):
            return
        reason = self._find_reason(record, crashed)
        if reason and self._may_eject(endpoint, record, crashed, now_ms):
            self._eject(endpoint, record, crashed, reason, now_ms)

    def succeeded(self, endpoint: str, now_ms: int) -> None:
        """Count an attempt that brought a whole answer."""
        record = self._records.get(endpoint)
        if record is None:
            return
        self._refresh(endpoint, record, now_ms)
        record.count(failed=False)

    def leave(self, endpoint: str, now_ms: int) -> None:
        """Give *endpoint* nothing new: it said that it is going away."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.until_ms = now_ms + self._settings.leaving_grace_ms
        self._move(endpoint, record, EndpointHealth.LEAVING, 'it is leaving', now_ms)

    def report(self, report: LoadReported, now_ms: int) -> None:
        """Learn from a load report whether an endpoint leaves or is back.

        A report lags.  One taken before the refusal still says ``active``, so
        only a report taken after it, by a margin, brings the endpoint back.
        """
        record = self._records.get(report.endpoint)
        if record is None:
            return
        if report.state in LEAVING_STATES:
            self.leave(report.endpoint, now_ms)
            return
        taken_ms = now_ms - max(0, report.age_ms)
        if record.health is EndpointHealth.LEAVING and taken_ms > record.until_ms:
            self._return(report.endpoint, record, 'a later report says so', now_ms)

    def _find_reason(self, record: HealthRecord, crashed: bool) -> str:
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

    def _may_eject(
        self, endpoint: str, record: HealthRecord, crashed: bool, now_ms: int
    ) -> bool:
        # With most of a pool ejected the rest would be overrun, and with all of
        # it ejected nothing would notice that it works again.
        share = self._settings.ejected_share_max
        if crashed:
            share = self._settings.crashed_share_max
        for group in record.groups:
            members = self._members[group]
            ejected = 0
            for name in members:
                other = self._records[name]
                self._refresh(name, other, now_ms)
                if name != endpoint and other.health is EndpointHealth.EJECTED:
                    ejected += 1
            if ejected + 1 > min(share * len(members), len(members) - 1):
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
        self._move(endpoint, record, EndpointHealth.EJECTED, reason, now_ms)

    def _refresh(self, endpoint: str, record: HealthRecord, now_ms: int) -> None:
        health = record.health
        lifetime_ms = self._settings.leaving_lifetime_ms
        if health is EndpointHealth.EJECTED and now_ms >= record.until_ms:
            self._return(endpoint, record, 'its time is over', now_ms)
        elif health is EndpointHealth.LEAVING and (
            now_ms >= record.until_ms + lifetime_ms
        ):
            self._return(endpoint, record, 'nothing was heard since', now_ms)
        elif health is EndpointHealth.RAMPING and (
            now_ms >= record.since_ms + self._settings.ramp_ms
        ):
            record.ejections = 0
            self._move(
                endpoint, record, EndpointHealth.HEALTHY, 'it has returned', now_ms
            )

    def _return(
        self, endpoint: str, record: HealthRecord, reason: str, now_ms: int
    ) -> None:
        record.reset()
        self._move(endpoint, record, EndpointHealth.RAMPING, reason, now_ms)

    def _move(
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


def list_groups(document: EndpointDocument) -> tuple[str, ...]:
    """Return what an endpoint serves: pools, each with its own cap.

    :param document: the endpoint.
    """
    service = document.get('service')
    if service:
        return (f'service:{service}',)
    return tuple(document.get('models', ()))
