"""The settings of all parts of an instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.admission import AdmissionSettings
from savorychute.audit.audit_settings import AuditSettings
from savorychute.configuration.log_budget import LogBudgetSettings
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.credits import CreditSettings
from savorychute.leases.lease_settings import LeaseSettings
from savorychute.limits import LimitSettings
from savorychute.membership import DiscoverySettings, MembershipSettings
from savorychute.placement import PlacementSettings
from savorychute.recovery import EjectorSettings, QuarantineSettings, RetrySettings
from savorychute.requests import KeySettings
from savorychute.routing import LengthSettings, RoutingSettings


class InstanceSettings(NamedTuple):
    """The settings of an instance.

    ``operator_token_hashes`` maps the name of an operator to the hex SHA-256
    digest of its token.  An attempt without progress is abandoned after a
    multiple of its class's targets, at most ``first_progress_timeout_ms``, or
    ``gap_timeout_ms`` once its response has started.  While requests are
    queued, a start or a preemption is attempted every ``pump_period_ms``.  An
    instance that shuts down starts queued requests for ``handover_ms`` and then
    sends them elsewhere.  ``epoch_offset_ms`` added to ``now_ms`` gives Unix
    time; it is shown to people and limits the age of keys that callers send.
    """

    operator_token_hashes: dict[str, str] = {}
    admission_name: str = 'tiered'
    router_name: str = 'predicted'
    tick_period_ms: int = 100
    pump_period_ms: int = 25
    max_retries: int = 3
    max_unrun_retries: int = 8
    refusal_retry_ms: int = 1_000
    avoid_failed_ms: int = 2_000
    epoch_offset_ms: int = 0
    first_progress_timeout_ms: int = 10_000
    gap_timeout_ms: int = 3_000
    handover_ms: int = 500
    explained_requests: int = 1_000
    admission: AdmissionSettings = AdmissionSettings()
    audit: AuditSettings = AuditSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    credits: CreditSettings = CreditSettings()
    ejection: EjectorSettings = EjectorSettings()
    keys: KeySettings = KeySettings()
    leases: LeaseSettings = LeaseSettings()
    lengths: LengthSettings = LengthSettings()
    limiter: LimitSettings = LimitSettings()
    log_budget: LogBudgetSettings = LogBudgetSettings()
    membership: MembershipSettings = MembershipSettings()
    placement: PlacementSettings = PlacementSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    retries: RetrySettings = RetrySettings()
    routing: RoutingSettings = RoutingSettings()
    discovery: DiscoverySettings = DiscoverySettings()
