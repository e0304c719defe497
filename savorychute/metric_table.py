"""The table of all metrics."""

from __future__ import annotations

from savorychute.metric_row import MetricRow

BUCKETS_MS = (1, 2, 5, 10, 20, 35, 52, 75, 100, 150, 220, 320, 500, 1000, 3000, 10000)

METRICS = (
    MetricRow(
        'requests_total',
        'counter',
        ('organisation', 'class', 'code', 'ran'),
        'Requests that ended, by result code and whether they ran.',
    ),
    MetricRow(
        'targets_total',
        'counter',
        ('organisation', 'class', 'met'),
        'Requests with a latency target, by whether it was met.',
    ),
    MetricRow(
        'goodput_total',
        'counter',
        ('organisation', 'class'),
        'Answers times their weight.',
    ),
    MetricRow(
        'first_token_ms',
        'histogram',
        ('tier',),
        'From a request to the first token of its answer.',
    ),
    MetricRow(
        'token_gap_ms',
        'histogram',
        ('tier',),
        'Between two tokens, as the mean of an answer, counted for each token.',
    ),
    MetricRow(
        'request_ms', 'histogram', ('tier',), 'From a request to the end of its answer.'
    ),
    MetricRow('tokens_total', 'counter', ('tier',), 'Tokens passed to callers.'),
    MetricRow(
        'wasted_tokens_total',
        'counter',
        ('tier',),
        'Tokens generated for answers that were cut, duplicated or discarded.',
    ),
    MetricRow('attempts_total', 'counter', ('tier',), 'Tries at endpoints.'),
    MetricRow('queued_requests', 'gauge', ('pool', 'tier'), 'Requests that wait.'),
    MetricRow('open_requests', 'gauge', (), 'Requests not yet ended.'),
    MetricRow('open_connections', 'gauge', (), "Callers' connections."),
    MetricRow('members', 'gauge', ('state',), 'Instances, by state.'),
    MetricRow('endpoints', 'gauge', ('state',), 'Endpoints, by state.'),
    MetricRow('contracts', 'gauge', (), 'Contracts in force.'),
    MetricRow(
        'configuration_offset', 'gauge', (), 'Offset up to which changes are in force.'
    ),
    MetricRow('log_reachable', 'gauge', (), "1 if the platform's log answers, else 0."),
    MetricRow(
        'configuration_changes_total', 'counter', ('kind',), 'Changes put into force.'
    ),
    MetricRow(
        'member_changes_total', 'counter', ('state',), 'Members, by their new state.'
    ),
    MetricRow(
        'endpoint_ejections_total', 'counter', (), 'Ejections of failing endpoints.'
    ),
    MetricRow('quarantines_total', 'counter', (), 'Requests that were quarantined.'),
    MetricRow('peer_sent_bytes_total', 'counter', (), 'Signed messages to instances.'),
    MetricRow(
        'peer_dropped_total',
        'counter',
        (),
        'Messages to instances not sent for lack of room.',
    ),
    MetricRow(
        'peer_rejected_total', 'counter', (), 'Frames from the peer port not taken.'
    ),
)
