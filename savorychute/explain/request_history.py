"""The history of a request in sentences."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.explain.sentences import describe_line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.explain.log_line import LogLine

# State changes of an instance this long before a request may have decided its outcome;
# those this long after it may show why.
CONTEXT_BEFORE_S = 15.0
CONTEXT_AFTER_S = 6.0
STATE_EVENTS = frozenset(
    {
        'configuration-applied',
        'dependency-lost',
        'dependency-regained',
        'instance-leaving',
        'instance-started',
        'settings-reloaded',
    }
)

# What endpoints state about themselves; it may be the reason why a request was sent to
# no endpoint.
ENDPOINT_STATEMENTS = frozenset({'leaving-stated', 'limit-stated', 'rest-stated'})

# What accuses, clears and convicts requests that crash endpoints.
VERDICT_EVENTS = frozenset({'crash-counted', 'traits-cleared', 'verdict-changed'})
# The reason of a change that another instance has made.
TOLD = 'told'
MAX_VERDICT_LINES = 20


def describe_request(request_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Return a sentence for each line that explains a request.

    These are the request's own lines, the state changes of its instances around that
    time, the changes of the endpoints to which it was sent, and the crashes behind a
    verdict on it.

    :param request_id: the id of the request.
    :param lines: the log lines of all instances, sorted by time.
    """
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return []
    instances = {line.instance for line in request_lines}
    endpoints = {line.fields.get('endpoint') for line in request_lines} - {None, ''}
    event_names = STATE_EVENTS if endpoints else STATE_EVENTS | ENDPOINT_STATEMENTS
    start_s = request_lines[0].timestamp_s - CONTEXT_BEFORE_S
    end_s = request_lines[-1].timestamp_s + CONTEXT_AFTER_S
    shown_lines = [
        line
        for line in lines
        if line.request_id == request_id
        or (
            start_s <= line.timestamp_s <= end_s
            and line.instance in instances
            and (line.event in event_names or line.fields.get('endpoint') in endpoints)
            and not line.request_id
        )
    ]
    shown_lines = [*_find_verdict_lines(request_lines, lines), *shown_lines]
    first_s = request_lines[0].timestamp_s
    return [
        f'{line.timestamp_s - first_s:+9.3f} s  {line.instance}  {describe_line(line)}'
        for line in shown_lines
    ]


def _find_verdict_lines(
    request_lines: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[LogLine]:
    """Return the last lines, of any instance, behind the verdict on a request."""
    traits = set().union(*map(_read_traits, request_lines))
    if not traits:
        return []
    last_s = request_lines[-1].timestamp_s
    found = [
        line
        for line in lines
        if line.event in VERDICT_EVENTS
        and line.timestamp_s <= last_s
        and traits & _read_traits(line)
        and line.fields.get('reason') != TOLD
    ]
    return found[-MAX_VERDICT_LINES:]


def _read_traits(line: LogLine) -> set[str]:
    return set(str(line.fields.get('traits') or '').split(',')) - {''}
