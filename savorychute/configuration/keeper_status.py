"""Figures of the configuration's keeper."""

from __future__ import annotations

from typing import NamedTuple


class KeeperStatus(NamedTuple):
    """What operators see of one instance's configuration.

    ``divergences`` counts notices of others that show another state at the
    same offset; any number but 0 is a fault to report.
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
