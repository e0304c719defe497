"""Formats each kind of log line as a sentence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.explain.evidence import describe_evidence, describe_source
from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.explain.log_line import LogLine

SENTENCES: Registry[Callable[[dict[str, Any]], str]] = Registry('sentence')
HIDDEN_FIELDS = frozenset(
    {
        'instance',
        'level',
        'message_type',
        'request_id',
        'task_level',
        'task_uuid',
        'timestamp',
    }
)


def describe_line(line: LogLine) -> str:
    """Return a log line as a sentence.

    :param line: any line; for one of an unknown kind the sentence lists its fields.
    """
    if line.event in SENTENCES:
        return SENTENCES.get(line.event)(line.fields)
    shown = ', '.join(
        f'{name} {value}'
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f'{line.event}: {shown}'


@SENTENCES.register('request-refused')
def _describe_refused(fields: dict[str, Any]) -> str:
    return (
        f'refused at once with code {fields.get("code")} ({fields.get("reason")}), '
        f'told {fields.get("ran")}; by version {fields.get("version")}, '
        f'confirmed {fields.get("age_ms")} ms before' + _describe_verdict(fields)
    )


@SENTENCES.register('request-shed')
def _describe_shed(fields: dict[str, Any]) -> str:
    return (
        f'not sent: the best engine {fields.get("endpoint")} had '
        f'{fields.get("count")} requests and an expected wait of '
        f'{fields.get("waited_ms")} ms, by a report of {fields.get("age_ms")} ms '
        f'before; limit {fields.get("reason")}, {fields.get("waiting")} waiting, '
        f'{fields.get("ahead")} of {fields.get("generating")} running ones at least as '
        f'urgent, last begun of rank {fields.get("begun_rank")}'
        + _describe_expected_end(fields)
        + _describe_claim(fields)
    )


@SENTENCES.register('request-diverted')
def _describe_diverted(fields: dict[str, Any]) -> str:
    end_ms = fields.get('expected_end_ms')
    cause = 'which is full' if end_ms is None else f'there after {end_ms} ms'
    return (
        f'sent to {fields.get("endpoint")} instead of {fields.get("from_endpoint")}, '
        f'{cause}: expected to end after {fields.get("other_end_ms")} ms, with '
        f'{fields.get("left_ms")} ms left'
    )


@SENTENCES.register('attempt-ended')
def _describe_attempt(fields: dict[str, Any]) -> str:
    reason = fields.get('reason')
    cause = f' ({reason})' if reason else ''
    return (
        f'the attempt at {fields.get("endpoint")} of {fields.get("service")} '
        f'{fields.get("state")}{cause} after {fields.get("duration_ms")} ms'
        + _describe_progress(fields)
        + describe_evidence(fields)
    )


@SENTENCES.register('attempt-placed')
def _describe_placement(fields: dict[str, Any]) -> str:
    text = (
        f'was placed on {fields.get("endpoint")} of {fields.get("service")} '
        f'({fields.get("reason")}), at {fields.get("speed_percent")} % of the usual '
        f'speed: prefill expected after {fields.get("waited_ms")} ms, its end after '
        f'{fields.get("expected_ms")} ms'
    )
    if fields.get('first_event_ms') is not None:
        text += f'; first event after {fields["first_event_ms"]} ms'
    return text


@SENTENCES.register('repeat-decided')
def _describe_retry(fields: dict[str, Any]) -> str:
    return (
        f'a further attempt at {fields.get("service")} was {fields.get("state")}: '
        f'{fields.get("count")} sent within the window, of {fields.get("bound")} for '
        f'{fields.get("requests")} requests and a slack that {fields.get("instances")} '
        'instances share'
    )


@SENTENCES.register('permit-decided')
def _describe_permit(fields: dict[str, Any]) -> str:
    text = f'a permit to call {fields.get("endpoint")} was {fields.get("state")}'
    if fields.get('retry_after_ms'):
        text += f', for {fields["retry_after_ms"]} ms'
    return text


@SENTENCES.register('request-finished')
def _describe_finished(fields: dict[str, Any]) -> str:
    text = (
        f'{fields.get("state")} with status {fields.get("status")} after '
        f'{fields.get("duration_ms")} ms and {fields.get("count")} attempts, the last '
        f'at {fields.get("endpoint") or "no endpoint"}; route {fields.get("item")}, '
        f'rank {fields.get("rank")}, version {fields.get("version")}'
    )
    if fields.get('events'):
        text += (
            f'; first event after {fields.get("first_event_ms")} ms, '
            f'{fields["events"]} events, longest pause {fields.get("gap_ms")} ms'
        )
    if fields.get('software'):
        text += f'; software {fields["software"]}'
    if fields.get('resumes') or fields.get('last_event'):
        text += (
            f'; resumed {fields.get("resumes") or "an unnamed attempt"} '
            f'after event {fields.get("last_event") or "none"}'
        )
    return text + describe_source(fields) + _describe_verdict(fields)


def _describe_verdict(fields: dict[str, Any]) -> str:
    """Return what the verdict on a request concerns, if it was refused for one."""
    traits = fields.get('traits')
    return f'; a verdict on {traits} concerns it' if traits else ''


def _describe_expected_end(fields: dict[str, Any]) -> str:
    """Return when the answer would end, if it was refused for its deadline."""
    if fields.get('expected_end_ms') is None:
        return ''
    return (
        f'; the earliest end was expected after {fields["expected_end_ms"]} ms, with '
        f'{fields.get("left_ms")} ms left'
    )


def _describe_claim(fields: dict[str, Any]) -> str:
    """Return what the request's organisation and caller could claim."""
    if fields.get('demand_percent') is None:
        return ''
    text = f'; {fields.get("organisation") or "callers without a key"} sent '
    text += f'{fields["demand_percent"]} % of the usual demand'
    return text + (', the caller had waited before' if fields.get('returned') else '')


def _describe_progress(fields: dict[str, Any]) -> str:
    """Return the software and the progress of a stream at a failed attempt."""
    software = fields.get('software')
    text = f', software {software}' if software else ''
    if fields.get('events'):
        text += f', the caller had {fields["events"]} events'
    return text


@SENTENCES.register('stream-resumed')
def _describe_resumed(fields: dict[str, Any]) -> str:
    text = (
        f'took up the stream of {fields.get("resumes") or "an unnamed attempt"} after '
        f'event {fields.get("last_event")}: {fields.get("state")} after '
        f'{fields.get("waited_ms")} ms'
    )
    if fields.get('software') is not None:
        text += (
            f'; it began at software {fields["software"] or "without a version"} of '
            f'{fields.get("service")}, known from {fields.get("source")} for '
            f'{fields.get("age_ms")} ms'
        )
    return text


@SENTENCES.register('stream-moved')
def _describe_move(fields: dict[str, Any]) -> str:
    state, source = fields.get('state'), fields.get('endpoint')
    if state == 'restarted':
        return f'left {source}, which leaves, to be read again at another engine'
    text = (
        f'the move from {source} to {fields.get("target")} with '
        f'{fields.get("tokens")} tokens {state}'
    )
    if fields.get('reason'):
        text += f' ({fields["reason"]})'
    if state == 'started':
        return text
    text += f' after {fields.get("duration_ms")} ms'
    return text + f', {fields["gap_ms"]} ms of them stopped' * (state == 'completed')


@SENTENCES.register('departure-planned')
def _describe_departure(fields: dict[str, Any]) -> str:
    stated = 'as it stated' if fields.get('certain') else 'at the earliest'
    return (
        f'{fields.get("endpoint")} ends in {fields.get("leaves_ms")} ms, {stated}: '
        f'{fields.get("count")} streams outlast it, {fields.get("moves")} are to move '
        f'and {fields.get("restarts")} to restart'
    )


@SENTENCES.register('crash-counted')
def _describe_crash(fields: dict[str, Any]) -> str:
    return (
        f'counted a request with {fields.get("traits") or "no parts"} as lost when '
        f'{fields.get("endpoint")} crashed; its most suspected trait was in '
        f'{fields.get("count")} crashes'
    )


@SENTENCES.register('traits-cleared')
def _describe_clearing(fields: dict[str, Any]) -> str:
    return f'cleared {fields.get("traits")}, as a request with them succeeded'


@SENTENCES.register('verdict-changed')
def _describe_verdict_change(fields: dict[str, Any]) -> str:
    certainty = 'certain' if fields.get('certain') else 'not certain'
    return (
        f'the verdict on {fields.get("traits")} is {fields.get("state")} '
        f'({fields.get("reason")}): {fields.get("count")} crashes, {certainty}, '
        f'{fields.get("trials")} trials, the next in {fields.get("retry_after_ms")} ms'
    )


@SENTENCES.register('version-marked')
def _describe_mark(fields: dict[str, Any]) -> str:
    return (
        f'{fields.get("state")} software {fields.get("software") or "without a version"} '
        f'of {fields.get("service")} in the store'
    )


@SENTENCES.register('configuration-applied')
def _describe_configuration(fields: dict[str, Any]) -> str:
    return (
        f'put version {fields.get("version")} in force, '
        f'from offset {fields.get("offset")}'
    )


@SENTENCES.register('dependency-lost')
def _describe_lost_dependency(fields: dict[str, Any]) -> str:
    return f'could not read {fields.get("item")}: {fields.get("reason")}'


@SENTENCES.register('dependency-regained')
def _describe_regained_dependency(fields: dict[str, Any]) -> str:
    return f'could read {fields.get("item")} again'


@SENTENCES.register('endpoint-changed')
def _describe_endpoint(fields: dict[str, Any]) -> str:
    return f'learned that {fields.get("endpoint")} is {fields.get("state")}'


@SENTENCES.register('limit-stated')
def _describe_limit(fields: dict[str, Any]) -> str:
    limit_per_s = fields.get('limit_per_s')
    if limit_per_s is None:
        return f'learned that {fields.get("endpoint")} takes any number of calls'
    return f'learned that {fields.get("endpoint")} takes {limit_per_s} calls a second'


@SENTENCES.register('leaving-stated')
def _describe_leaving_endpoint(fields: dict[str, Any]) -> str:
    return f'learned that {fields.get("endpoint")} leaves'


@SENTENCES.register('rest-stated')
def _describe_rest(fields: dict[str, Any]) -> str:
    return (
        f'was asked by {fields.get("endpoint")} for a rest of '
        f'{fields.get("retry_after_ms")} ms'
    )


@SENTENCES.register('instance-started')
def _describe_started(fields: dict[str, Any]) -> str:
    return f'started, for callers at {fields.get("address")}'


@SENTENCES.register('instance-leaving')
def _describe_leaving(fields: dict[str, Any]) -> str:  # noqa: ARG001
    return 'was told to leave'
