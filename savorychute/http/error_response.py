"""JSON body and headers of error responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NotRequired, TypedDict

import msgspec

from savorychute.ran import NOT_RUN_STATUSES, Ran

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.result_code import ResultCode

JSON_TYPE = 'application/json'
MS_PER_S = 1_000
RETRY_HEADERS = ('x-request-key', 'x-continuation-handle')


class ErrorDetail(TypedDict):
    """Number, name and text of an error, and whether the request ran."""

    code: int
    name: str
    message: str
    ran: str
    handle: NotRequired[str]


class ErrorDocument(TypedDict):
    """The body of an error response."""

    error: ErrorDetail


def classify_ran(names: Iterable[str]) -> Ran:
    """Return the run state of a request that the HTTP layer refuses.

    The refused request did not run.  A key or a handle means that the caller may
    have sent it before, which the HTTP layer cannot know: if the response stated
    'not run', the caller would send the same work again under a new key.

    :param names: the request's header names, in lower case.
    """
    return Ran.UNKNOWN if set(names) & set(RETRY_HEADERS) else Ran.NOT_RUN


def choose_status(code: ResultCode, ran: Ran) -> HTTPStatus:
    """Return the status of an error response.

    A status that promises that the request did not run is replaced if it may have run,
    for callers that read nothing but the status.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    """
    if ran is not Ran.NOT_RUN and code.status in NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return code.status


def encode_error(code: ResultCode, ran: Ran, message: str, handle: str = '') -> bytes:
    """Return the JSON body of an error response.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    :param message: details of this error; the meaning of *code* if empty.
    :param handle: the handle that resumes the stream, if there is one.
    """
    detail: ErrorDetail = {
        'code': code.number,
        'name': code.name,
        'message': message or code.meaning,
        'ran': ran.value,
    }
    if handle:
        detail['handle'] = handle
    document: ErrorDocument = {'error': detail}
    return msgspec.json.encode(document)


def error_headers(
    code: ResultCode, ran: Ran, retry_after_ms: int = 0
) -> list[tuple[str, str]]:
    """Return the headers that every error response has.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    :param retry_after_ms: how long the caller should wait; no header for zero.
    """
    headers = [
        ('content-type', JSON_TYPE),
        ('x-result-code', str(code.number)),
        ('x-ran', ran.value),
    ]
    if retry_after_ms > 0:
        retry_after_s = -(-retry_after_ms // MS_PER_S)
        headers.append(('retry-after', str(retry_after_s)))
        headers.append(('x-retry-after-ms', str(retry_after_ms)))
    return headers
