"""The metrics of a gateway."""

from __future__ import annotations

from savorychute.metric_row import MetricRow

GATEWAY_METRICS = (
    MetricRow(
        'requests_total',
        'counter',
        ('route', 'outcome'),
        'Requests that ended, by route and outcome.',
    ),
    MetricRow(
        'refusals_total',
        'counter',
        ('code', 'reason'),
        'Requests refused before an attempt.',
    ),
    MetricRow(
        'attempts_total',
        'counter',
        ('service', 'outcome'),
        'Attempts at endpoints, by how they ended.',
    ),
    MetricRow(
        'responses_disbelieved_total',
        'counter',
        ('service', 'reason'),
        'Responses of endpoints that were not believed, by what was missing.',
    ),
    MetricRow(
        'crashes_total',
        'counter',
        ('service',),
        'Lost attempts whose endpoints were found gone.',
    ),
    MetricRow(
        'verdict_changes_total',
        'counter',
        ('reason',),
        'Changes of verdicts on requests that crash endpoints, by reason.',
    ),
    MetricRow(
        'verdicts',
        'gauge',
        (),
        'Verdicts in force on requests that crash endpoints.',
    ),
    MetricRow(
        'sheds_total',
        'counter',
        ('rank', 'limit'),
        'Requests turned away for the load of engines, by the limit that asked for it.',
    ),
    MetricRow(
        'sheds_by_caller_total',
        'counter',
        ('demand', 'caller'),
        'Requests turned away for the load of engines, by whether the demand of their '
        'organisation was well above its usual one and whether the caller had waited.',
    ),
    MetricRow(
        'diversions_total',
        'counter',
        ('service', 'reason'),
        'Requests sent to another engine, as the chosen one would be late or is full.',
    ),
    MetricRow(
        'repeats_total',
        'counter',
        ('service', 'outcome'),
        'Further attempts that were asked for, by whether the shared bound let them go.',
    ),
    MetricRow(
        'repeats_recent',
        'gauge',
        ('service',),
        'Further attempts of this instance within the window, at the last decision.',
    ),
    MetricRow(
        'placements_total',
        'counter',
        ('service', 'reason'),
        'Attempts, by the rule that chose their endpoint.',
    ),
    MetricRow(
        'repeat_bound',
        'gauge',
        ('service',),
        "This instance's part of the bound on them, at the last decision.",
    ),
    MetricRow(
        'limited_calls_total',
        'counter',
        ('service', 'kind'),
        'Calls to endpoints that stated a limit, by what they were made for.',
    ),
    MetricRow('rests_total', 'counter', (), 'Times that an endpoint asked for rest.'),
    MetricRow(
        'permits_total',
        'counter',
        ('outcome',),
        'Permits that requests asked for, for endpoints that stated a limit.',
    ),
    MetricRow(
        'records_unreadable_total',
        'counter',
        ('topic',),
        'Records of the store that another writer left and nobody can read.',
    ),
    MetricRow(
        'request_ms',
        'histogram',
        ('tier',),
        'From a request to the end of its answer.',
    ),
    MetricRow(
        'first_event_ms',
        'histogram',
        ('tier',),
        'From a request to the first event of its answer.',
    ),
    MetricRow(
        'event_gap_ms',
        'histogram',
        ('tier',),
        'The longest pause between two events of an answer.',
    ),
    MetricRow(
        'connections_total',
        'counter',
        ('way',),
        'Connections to endpoints, direct or through a tunnel of another instance.',
    ),
    MetricRow(
        'endpoint_connections',
        'gauge',
        ('state',),
        'Connections to endpoints, by state.',
    ),
    MetricRow(
        'connection_reuses',
        'gauge',
        (),
        'Calls to endpoints that needed no new connection, since the start.',
    ),
    MetricRow(
        'tunnel_failures_total',
        'counter',
        (),
        'Tunnels that another instance did not open.',
    ),
    MetricRow(
        'tunnels_ended_total',
        'counter',
        ('reason',),
        'Tunnels through this instance that ended, by who ended them.',
    ),
    MetricRow(
        'isolated',
        'gauge',
        (),
        'Whether this instance has lost the paths to all endpoints.',
    ),
    MetricRow(
        'tunnels_open', 'gauge', (), 'Tunnels that are open for other instances.'
    ),
    MetricRow(
        'streams_resumed_total',
        'counter',
        ('outcome',),
        'Streams that callers took up again, by whether they were admitted or why not.',
    ),
    MetricRow(
        'moves_total',
        'counter',
        ('service', 'outcome'),
        'Moves of streams to other engines, by what became of them.',
    ),
    MetricRow(
        'moved_tokens_total',
        'counter',
        ('service',),
        'Tokens in the memory of the streams that were moved.',
    ),
    MetricRow(
        'stream_records',
        'gauge',
        (),
        'Records kept of which version began a stream, of all instances.',
    ),
    MetricRow(
        'stream_records_dropped',
        'gauge',
        (),
        'Such records that were dropped before their time, since the start.',
    ),
    MetricRow(
        'runs_ended_total',
        'counter',
        ('service',),
        'Runs of endpoints that ended, by a removed entry, a restart or other proof.',
    ),
    MetricRow('in_progress', 'gauge', (), 'Requests that have no final answer yet.'),
    MetricRow('open_connections', 'gauge', (), "Callers' connections."),
    MetricRow(
        'slow_callers_total',
        'counter',
        ('reason',),
        'Responses ended because their callers read slowly, by the limit exceeded.',
    ),
    MetricRow(
        'unread_bytes', 'gauge', (), 'Parts of responses that callers have not read.'
    ),
    MetricRow(
        'held_bytes', 'gauge', (), 'Parts of responses held until they are complete.'
    ),
    MetricRow('members', 'gauge', (), 'Other instances that are taken for alive.'),
    MetricRow('endpoints', 'gauge', ('state',), 'Endpoints, by state.'),
    MetricRow(
        'engine_speed',
        'gauge',
        ('service', 'engine'),
        'Speeds relative to the median engine of the service: slowest and fastest.',
    ),
    MetricRow(
        'engines_slow', 'gauge', ('service',), 'Engines that are known to be slow.'
    ),
    MetricRow(
        'engine_evidence',
        'gauge',
        ('service',),
        'Observations behind the speeds of the engines, with what others told.',
    ),
    MetricRow(
        'engine_rows_ignored_total',
        'counter',
        (),
        'Observations of other instances that were not valid.',
    ),
    MetricRow(
        'configuration_version', 'gauge', (), 'The version in force; -1 for none.'
    ),
    MetricRow(
        'configuration_age_ms',
        'gauge',
        (),
        'How long ago the version was last confirmed by the store.',
    ),
    MetricRow(
        'store_failures_total', 'counter', ('topic',), 'Failed reads of the store.'
    ),
    MetricRow(
        'store_calls_total',
        'counter',
        ('topic', 'purpose'),
        'Calls to the store, by topic and what they were made for.',
    ),
    MetricRow(
        'duty_steps_total',
        'counter',
        ('duty', 'step', 'outcome'),
        'What the holder of a duty did, and how it ended.',
    ),
    MetricRow(
        'duty_changes_total',
        'counter',
        ('change',),
        'How often this instance began or ceased to hold the duties.',
    ),
    MetricRow('log_lines_omitted_total', 'counter', (), 'Routine log lines left out.'),
)
