"""Costs of one role for one instance at one system size."""

from __future__ import annotations

from typing import NamedTuple


class RoleSample(NamedTuple):
    """Costs per instance, averaged over the measured time.

    ``busiest_bytes_per_s`` is what the busiest instance sends and receives,
    ``busiest_loop_ms`` the longest time for which an event loop is blocked.
    ``instances`` is the measured system size.  A quantity that the role does
    not have, or that was not measured, is None and is left out of the page.
    """

    instances: int
    state_bytes: float | None = None
    sent_messages_per_s: float | None = None
    received_messages_per_s: float | None = None
    sent_bytes_per_s: float | None = None
    received_bytes_per_s: float | None = None
    busiest_bytes_per_s: float | None = None
    processor_us_per_s: float | None = None
    busiest_loop_ms: float | None = None
    log_appends_per_s: float | None = None
    log_reads_per_s: float | None = None
    log_read_bytes_per_s: float | None = None
