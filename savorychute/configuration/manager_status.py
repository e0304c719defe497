"""Status figures of the configuration manager."""

from __future__ import annotations

from typing import NamedTuple


class ManagerStatus(NamedTuple):
    """The configuration status of one instance, for operators.

    ``divergences`` counts notices from other instances that show a different state
    at the same offset; any number other than 0 is a fault to report.
    """

    ready: bool
    offset: int
    items: int
    log_is_down: bool
    log_is_behind: bool
    snapshot_offset: int
    snapshot_age_ms: int
    snapshots_written: int
    rejected_records: int
    repeated_records: int
    states_adopted: int
    divergences: int
