"""Settings of leases."""

from __future__ import annotations

from typing import NamedTuple


class LeaseSettings(NamedTuple):
    """Times of leases.  All durations are of the instance's own clock, which
    must count the time that the host spends suspended.

    :param duration_ms: how long a claim holds.
    :param renew_before_ms: how long before the end the holder renews.
    :param stop_margin_ms: how long before the end the holder stops.
    :param clock_drift_share: how much faster or slower than another a clock may
        run, as a part of a duration.
    :param order_flight_ms: how long an order may be under way to an endpoint.
    :param poll_interval_ms: how often the stream is read while leases are
        wanted.
    :param read_timeout_ms: when a read counts as unanswered.
    :param max_read_records: how many records one read asks for.
    :param claim_backoff_ms: the random delay before a claim, so that rivals
        seldom collide.
    :param order_timeout_ms: when an unanswered order counts as unknown.
    :param max_order_history: how many past orders are kept for operators.
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
