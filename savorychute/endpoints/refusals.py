"""Failed attempts, and refusals that prove that the request did not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.inputs import AttemptFailed

if TYPE_CHECKING:
    from savorychute.http.call_failure import CallFailure

REFUSAL_STATUSES = (429, 503)
ATTEMPT_ID_HEADER = 'x-attempt-id'
NOT_STARTED_HEADER = 'x-not-started'
LEAVING_HEADER = 'x-leaving'
PAUSED_HEADER = 'x-paused'
SERVER_ERROR_STATUS = 500


def belongs_to(attempt_id: str, headers: dict[str, str], calls_before: int) -> bool:
    """Return whether a response belongs to an attempt.

    An extra response of the endpoint may arrive late, where the one to the next request
    is expected.  A response that names no attempt is believed only on the first call of
    its connection, where none can be late.

    :param attempt_id: the attempt.
    :param headers: the headers of the response.
    :param calls_before: the calls that the connection had carried before.
    """
    named_id = headers.get(ATTEMPT_ID_HEADER, '')
    return named_id == attempt_id if named_id else calls_before == 0


def is_refusal(status: int, headers: dict[str, str]) -> bool:
    """Return whether a response proves that its request did not start.

    A 503 without the header proves nothing: an intermediate gateway may send it
    after the endpoint has started the request.
    """
    return status in REFUSAL_STATUSES and headers.get(NOT_STARTED_HEADER) == '1'


def describe_refusal(
    attempt_id: str, status: int, headers: dict[str, str]
) -> AttemptFailed:
    """Return the failure of an attempt that was refused."""
    return AttemptFailed(
        attempt_id=attempt_id,
        sent=True,
        refused=True,
        leaving=headers.get(LEAVING_HEADER) == '1',
        crashed=False,
        reason=f'refused with status {status}',
        paused=headers.get(PAUSED_HEADER) == '1',
    )


def describe_failure(attempt_id: str, failure: CallFailure) -> AttemptFailed:
    """Return the failure of an attempt whose call failed."""
    return AttemptFailed(
        attempt_id=attempt_id,
        sent=failure.sent,
        refused=False,
        leaving=False,
        crashed=failure.broken,
        reason=failure.reason,
    )


def describe_fault(attempt_id: str, reason: str) -> AttemptFailed:
    """Return the failure of an attempt whose response is invalid or an error."""
    return AttemptFailed(
        attempt_id=attempt_id,
        sent=True,
        refused=False,
        leaving=False,
        crashed=False,
        reason=reason,
    )
