"""Settings of the replication of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class ConfigurationSettings(NamedTuple):
    """Times and limits; none of them affects the decisions of the fold.

    :param epoch_offset_ms: offset to add to ``now_ms`` for the wall-clock time.
    :param pollers_per_domain: number of members of a failure domain that poll the log.
    :param poll_interval_ms: poll interval of these pollers.
    :param idle_poll_interval_ms: poll interval of every other member.
    :param read_timeout_ms: time after which a read counts as unanswered.
    :param max_read_records: maximum number of records in one read.
    :param confirm_timeout_ms: how long an operator waits for the read-back.
    :param log_down_ms: how long after a failure the log counts as down.
    :param notice_interval_ms: how often a member announces its offset to another.
    :param news_notice_interval_ms: how often it does so after a recent change.
    :param news_ms: how long a change counts as recent.
    :param pull_timeout_ms: time after which a pull counts as lost.
    :param push_fanout: number of members that receive a push.
    :param push_bytes: size up to which new records are pushed rather than announced.
    :param pull_bytes: maximum bytes of records in the response to one pull.
    :param ring_bytes: bytes of records that are retained for other instances.
    :param listing_wait_ms: how long a new instance waits for others to appear.
    :param join_notice_interval_ms: how often a new instance queries other members.
    :param join_wait_ms: time after which a new instance reads the log even if it is
        no poller, and sends its notices at the usual interval.
    :param join_poll_interval_ms: how often it reads the log from then on.
    :param part_bytes: size of the parts of a state that peers transfer.
    :param snapshot_interval_ms: age at which a snapshot is renewed; a quarter
        of the log's retention.
    :param snapshot_records: maximum number of records after the newest snapshot.
    :param snapshot_jitter_ms: period over which the renewals are spread.
    :param snapshot_part_bytes: bytes of state in one record.
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
