"""Whether a request ran."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus

#: A response with one of these statuses promises that its request has not run and
#: never will.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class Ran(StrEnum):
    """The execution state of a request, as reported to the caller."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'
