"""For how long an instance holds the duties."""

from __future__ import annotations

from savorychute.leases.lease_settings import LeaseSettings

# A report is due some seconds after its window has ended.  A successor follows within the
# lease and one poll, and has the rest for the report.  Calls of an earlier holder that are
# still under way bear a smaller number, so nobody waits for them.
DUTY_LEASE = LeaseSettings(
    duration_ms=4_000,
    renew_before_ms=2_500,
    stop_margin_ms=300,
    order_flight_ms=0,
    poll_interval_ms=300,
    claim_backoff_ms=200,
)
