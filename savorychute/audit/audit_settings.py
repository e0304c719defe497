"""Settings of the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class AuditSettings(NamedTuple):
    """Limits of the audit trail.

    :param epoch_offset_ms: the offset from ``now_ms`` to the wall-clock time.
    :param max_entries: the maximum number of entries kept in memory.
    :param max_pending: the maximum number of lasting entries waiting for the log.
    :param batch_entries: the maximum number of entries in one log record.
    :param batch_delay_ms: how long a batch waits for further entries.
    :param retry_ms: the delay after a failed append.
    :param read_records: the number of log records requested by one read.
    :param read_timeout_ms: the timeout of a read.
    :param max_results: the maximum number of entries in one reply to an operator.
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
