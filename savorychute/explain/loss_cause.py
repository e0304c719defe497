"""The cause of a request being lost, refused or late."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

ANSWERED = 'answered'
CALLER_LEFT = 'caller-left'
OVERLOAD = 'overload'
TIMEOUT = 'timeout'
ENDPOINT_FAILED = 'endpoint-failed'
STATUS_UNAVAILABLE = 503


class LossCause(Enum):
    """Causes, in their order in a table."""

    IN_TIME = 'in time'
    LATE_FIRST_EVENT = 'late at the first event'
    LATE_PAUSE = 'late by a pause'
    LATE_ANSWER = 'late'
    CUT = 'cut in the answer'
    TIMED_OUT = 'time over'
    SHED = 'refused for want of room'
    REFUSED = 'refused'
    ENDPOINT_FAILED = 'failed by the endpoint'
    UNKNOWN = 'outcome unknown'
    CALLER_LEFT = 'caller left'


def find_cause(fields: Mapping[str, Any]) -> LossCause:
    """Return the cause of a request's loss, or ``IN_TIME``.

    :param fields: the fields of its last log line, ``request-finished``.
    """
    state = str(fields.get('state', ''))
    if state == ANSWERED:
        return _classify_response(fields)
    if state == CALLER_LEFT:
        return LossCause.CALLER_LEFT
    if state.startswith('cut-'):
        return LossCause.CUT
    if state == TIMEOUT:
        return LossCause.TIMED_OUT
    if state == ENDPOINT_FAILED:
        return LossCause.ENDPOINT_FAILED
    if state == OVERLOAD:
        return LossCause.SHED
    if fields.get('status') == STATUS_UNAVAILABLE:
        return LossCause.REFUSED
    return LossCause.UNKNOWN


def _classify_response(fields: Mapping[str, Any]) -> LossCause:
    """Return how a complete response was late, or ``IN_TIME``."""
    target_ms = fields.get('target_ms') or 0
    if not fields.get('events'):
        late = 0 < target_ms < fields.get('duration_ms', 0)
        return LossCause.LATE_ANSWER if late else LossCause.IN_TIME
    if 0 < target_ms < fields.get('first_event_ms', 0):
        return LossCause.LATE_FIRST_EVENT
    if 0 < (fields.get('gap_target_ms') or 0) < fields.get('gap_ms', 0):
        return LossCause.LATE_PAUSE
    return LossCause.IN_TIME
