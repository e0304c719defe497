"""The metrics of a gateway."""

from __future__ import annotations

from savorychute.metric_row import MetricRow

GATEWAY_METRICS = (
    MetricRow(
        'requests_total',
        'counter',
        ('route', 'outcome'),
        'Finished requests, by route and outcome.',
    ),
    MetricRow(
        'refusals_total',
        'counter',
        ('code', 'reason'),
        'Requests refused before the first attempt.',
    ),
    MetricRow(
        'attempts_total',
        'counter',
        ('service', 'outcome'),
        'Attempts at endpoints, by outcome.',
    ),
    MetricRow(
        'sheds_total',
        'counter',
        ('rank', 'limit'),
        'Requests shed because of the load of engines, by the limit that required it.',
    ),
    MetricRow(
        'repeats_total',
        'counter',
        ('service', 'outcome'),
        'Requested retries, by whether the shared bound allowed them.',
    ),
    MetricRow(
        'repeats_recent',
        'gauge',
        ('service',),
        'Retries of this instance within the window, at the last decision.',
    ),
    MetricRow(
        'repeat_bound',
        'gauge',
        ('service',),
        "This instance's share of the bound on retries, at the last decision.",
    ),
    MetricRow(
        'limited_calls_total',
        'counter',
        ('service', 'kind'),
        'Calls to endpoints that stated a limit, by purpose.',
    ),
    MetricRow(
        'rests_total', 'counter', (), 'Times that an endpoint asked for a pause.'
    ),
    MetricRow(
        'permits_total',
        'counter',
        ('outcome',),
        'Permits requested for endpoints that stated a limit, by outcome.',
    ),
    MetricRow(
        'records_unreadable_total',
        'counter',
        ('topic',),
        'Records in the store that cannot be decoded.',
    ),
    MetricRow(
        'request_ms',
        'histogram',
        ('tier',),
        'Time from a request to the end of its response.',
    ),
    MetricRow(
        'first_event_ms',
        'histogram',
        ('tier',),
        'Time from a request to the first event of its response.',
    ),
    MetricRow(
        'event_gap_ms',
        'histogram',
        ('tier',),
        'The longest pause between two events of a response.',
    ),
    MetricRow('in_progress', 'gauge', (), 'Requests that have no final response yet.'),
    MetricRow('open_connections', 'gauge', (), "Callers' connections."),
    MetricRow('members', 'gauge', (), 'Other instances that are considered alive.'),
    MetricRow('endpoints', 'gauge', ('state',), 'Endpoints, by state.'),
    MetricRow(
        'configuration_version', 'gauge', (), 'The version in force; -1 for none.'
    ),
    MetricRow(
        'configuration_age_ms',
        'gauge',
        (),
        'Time since the store last confirmed the version.',
    ),
    MetricRow(
        'store_failures_total', 'counter', ('topic',), 'Failed reads of the store.'
    ),
    MetricRow(
        'store_calls_total',
        'counter',
        ('topic', 'purpose'),
        'Calls to the store, by topic and purpose.',
    ),
    MetricRow(
        'duty_steps_total',
        'counter',
        ('duty', 'step', 'outcome'),
        'Steps of the holder of a duty, by outcome.',
    ),
    MetricRow(
        'duty_changes_total',
        'counter',
        ('change',),
        'How often this instance acquired or lost the duties.',
    ),
    MetricRow('log_lines_omitted_total', 'counter', (), 'Omitted log lines.'),
)
