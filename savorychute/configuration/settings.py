"""Settings of the configuration's spread."""

from __future__ import annotations

from typing import NamedTuple


class ConfigurationSettings(NamedTuple):
    """Times and bounds; none of them has a part in what the fold decides.

    :param epoch_offset_ms: what to add to ``now_ms`` for the wall-clock time.
    :param pollers_per_domain: how many members of a failure domain poll the log.
    :param poll_interval_ms: how often each of these polls.
    :param idle_poll_interval_ms: how often every other member does.
    :param read_timeout_ms: when a read counts as unanswered.
    :param max_read_records: how many records one read asks for.
    :param confirm_timeout_ms: how long an operator waits for the read-back.
    :param log_down_ms: how long after a failure the log counts as down.
    :param notice_interval_ms: how often a member tells another its offset.
    :param news_notice_interval_ms: how often it does so while there is news.
    :param news_ms: for how long a change counts as news.
    :param pull_timeout_ms: when a pull counts as lost.
    :param push_fanout: how many members are told of news at once.
    :param push_bytes: how much news is pushed rather than announced.
    :param pull_bytes: how many bytes of records answer one pull.
    :param ring_bytes: how many bytes of records are kept for others.
    :param listing_wait_ms: how long a new instance waits for others to appear.
    :param join_notice_interval_ms: how often it asks around.
    :param join_wait_ms: when it reads the log itself though it is no poller, and
        asks around no more often than others tell their offsets.
    :param join_poll_interval_ms: how often it reads the log from then on.
    :param part_bytes: size of the parts in which peers hand over the state.
    :param snapshot_interval_ms: age at which a snapshot is renewed; a quarter
        of the log's retention.
    :param snapshot_records: how many records may follow the newest snapshot.
    :param snapshot_jitter_ms: over how long the renewals are spread.
    :param snapshot_part_bytes: how many bytes of state one record carries.
    """

    epoch_offset_ms: int = 0
    pollers_per_domain: int = 2
    poll_interval_ms: int = 1_000
    idle_poll_interval_ms: int = 60_000
    read_timeout_ms: int = 3_000
    max_read_records: int = 500
    confirm_timeout_ms: int = 5_000
    log_down_ms: int = 5_000
    notice_interval_ms: int = 2_000
    news_notice_interval_ms: int = 1_000
    news_ms: int = 4_000
    pull_timeout_ms: int = 500
    push_fanout: int = 4
    push_bytes: int = 16_384
    pull_bytes: int = 131_072
    ring_bytes: int = 1_048_576
    listing_wait_ms: int = 500
    join_notice_interval_ms: int = 500
    join_wait_ms: int = 5_000
    join_poll_interval_ms: int = 10_000
    part_bytes: int = 32_768
    snapshot_interval_ms: int = 6 * 3_600_000
    snapshot_records: int = 2_000
    snapshot_jitter_ms: int = 600_000
    snapshot_part_bytes: int = 131_072
