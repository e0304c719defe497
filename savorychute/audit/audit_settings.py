"""Settings of the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class AuditSettings(NamedTuple):
    """Bounds of the audit trail.

    :param epoch_offset_ms: what to add to ``now_ms`` for the wall-clock time.
    :param max_entries: how many entries are kept in memory.
    :param max_pending: how many lasting entries wait for the log at most.
    :param batch_entries: how many entries one log record holds.
    :param batch_delay_ms: how long an entry waits for others to join it.
    :param retry_ms: how long to wait after an append failed.
    :param read_records: how many log records one read asks for.
    :param read_timeout_ms: when a read counts as unanswered.
    :param max_results: how many entries one answer to an operator holds.
    """

    epoch_offset_ms: int = 0
    max_entries: int = 2_000
    max_pending: int = 1_000
    batch_entries: int = 100
    batch_delay_ms: int = 1_000
    retry_ms: int = 5_000
    read_records: int = 200
    read_timeout_ms: int = 3_000
    max_results: int = 500
