"""What one role costs one instance at one size of the system."""

from __future__ import annotations

from typing import NamedTuple


class RoleSample(NamedTuple):
    """Per instance, averaged over the measured time.

    ``busiest_bytes_per_s`` is what the busiest instance sends and receives,
    ``busiest_loop_ms`` the longest time for which a loop stands still.
    ``instances`` is the size that was measured.  A quantity that the role does
    not have, or that was not measured, is None; it is left out of the page.
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
