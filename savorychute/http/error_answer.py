"""Error answers: JSON body and headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NotRequired, TypedDict

import msgspec

from savorychute.ran import Ran

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.result_code import ResultCode

JSON_TYPE = 'application/json'
MS_PER_S = 1_000
EARLIER_TRY_HEADERS = ('x-request-key', 'x-continuation-handle')


class ErrorDetail(TypedDict):
    """What went wrong: number, name, text, and whether the request ran."""

    code: int
    name: str
    message: str
    ran: str
    handle: NotRequired[str]


class ErrorDocument(TypedDict):
    """The body of an error answer."""

    error: ErrorDetail


def judge_ran(names: Iterable[str]) -> Ran:
    """Return what is true of a request that is refused at the edge.

    This try did not run.  A key or a handle says that there may have been
    earlier tries, of which the edge knows nothing: told 'not run', a caller
    would send its visit log again under a new key.

    :param names: the request's header names, in lower case.
    """
    return Ran.UNKNOWN if set(names) & set(EARLIER_TRY_HEADERS) else Ran.NOT_RUN


def encode_error(code: ResultCode, ran: Ran, message: str, handle: str = '') -> bytes:
    """Return the JSON body of an error answer.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    :param message: what is wrong in this case.
    :param handle: resumes the stream, if there is one.
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
    """Return the headers that every error answer has.

    :param code: the numbered reason.
    :param ran: whether the request ran.
    :param retry_after_ms: how long to wait; no header for zero.
    """
    headers = [
        ('content-type', JSON_TYPE),
        ('x-result-code', str(code.number)),
        ('x-ran', ran.value),
    ]
    if retry_after_ms > 0:
        whole_s = -(-retry_after_ms // MS_PER_S)
        headers.append(('retry-after', str(whole_s)))
        headers.append(('x-retry-after-ms', str(retry_after_ms)))
    return headers
