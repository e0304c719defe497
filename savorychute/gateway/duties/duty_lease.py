"""The durations of the lease of the duties."""

from __future__ import annotations

from savorychute.leases.lease_settings import LeaseSettings

# A report is due some seconds after its window has ended. A successor takes over within
# the lease duration and one poll; the remaining time is for the report. Calls of the
# previous holder that are still in flight carry a smaller fencing number, so there is
# no need to wait for them.
DUTY_LEASE = LeaseSettings(
    duration_ms=4_000,
    renew_before_ms=2_500,
    stop_margin_ms=300,
    order_flight_ms=0,
    poll_interval_ms=300,
    claim_backoff_ms=200,
)
