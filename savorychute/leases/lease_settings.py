"""Settings of leases."""

from __future__ import annotations

from typing import NamedTuple


class LeaseSettings(NamedTuple):
    """Durations and limits of leases.

    All durations are measured by the instance's own clock, which must include the
    time that the host spends suspended.

    :param duration_ms: how long a claim is valid.
    :param renew_before_ms: how long before the end the holder renews.
    :param stop_margin_ms: how long before the end the holder stops using the lease.
    :param clock_drift_share: the maximum difference in rate between two clocks, as
        a fraction of a duration.
    :param order_flight_ms: how long an order may be in flight to an endpoint.
    :param poll_interval_ms: the interval between reads of the stream while leases
        are wanted.
    :param read_timeout_ms: the timeout of a read.
    :param max_read_records: the number of records requested by one read.
    :param claim_backoff_ms: the maximum random delay before a claim, so that
        competing claims seldom collide.
    :param order_timeout_ms: when the outcome of an unanswered order counts as
        unknown.
    :param max_order_history: the number of past orders kept for operators.
    """

    duration_ms: int = 15_000
    renew_before_ms: int = 8_000
    stop_margin_ms: int = 2_000
    clock_drift_share: float = 0.01
    order_flight_ms: int = 5_000
    poll_interval_ms: int = 2_000
    read_timeout_ms: int = 3_000
    max_read_records: int = 500
    claim_backoff_ms: int = 1_000
    order_timeout_ms: int = 30_000
    max_order_history: int = 200
