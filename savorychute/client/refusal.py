"""Reading answers that say why there is none."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.client.call_error import CallError
from savorychute.http.error_response import ErrorDocument
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.client.response_stream import ResponseStream

CODES = {code.number: code for code in ResultCode}

_decoder = msgspec.json.Decoder(ErrorDocument)


def is_refusal(response: ResponseStream) -> bool:
    """Return whether the system itself answers, and not an endpoint.

    :param response: with its head.
    """
    return response.headers.get('x-result-code', '0') != '0'


def read_code(response: ResponseStream) -> ResultCode | None:
    """Return the result code of an answer, or none if it is unknown.

    :param response: with its head.
    """
    return CODES.get(_read_number(response.headers.get('x-result-code', '')))


def read_refusal(response: ResponseStream, body: bytes) -> CallError:
    """Return a refusal as an exception.

    What cannot be read is taken for the worst: it may have run.

    :param response: with its head.
    :param body: the whole body.
    """
    headers = response.headers
    code = read_code(response)
    message = _read_message(body)
    try:
        ran = Ran(headers.get('x-ran', ''))
    except ValueError:
        ran = Ran.UNKNOWN
    return CallError(
        code=code or ResultCode.OUTCOME_UNKNOWN,
        ran=ran,
        message=message or f'status {response.status}',
        retry_after_ms=_read_number(headers.get('x-retry-after-ms', '')),
        request_id=headers.get('x-request-id', ''),
    )


def read_error_event(response: ResponseStream, data: bytes) -> CallError:
    """Return the error event that ends a stream as an exception.

    :param response: with its head.
    :param data: the event's JSON.
    """
    code: ResultCode | None = None
    ran = Ran.UNKNOWN
    message = 'the answer broke off'
    try:
        detail = _decoder.decode(data)['error']
        code = CODES.get(detail['code'])
        message = detail['message']
        ran = Ran(detail['ran'])
    except (msgspec.DecodeError, ValueError):
        pass
    return CallError(
        code=code or ResultCode.ANSWER_TRUNCATED,
        ran=ran,
        message=message,
        request_id=response.headers.get('x-request-id', ''),
    )


def _read_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def _read_message(body: bytes) -> str:
    try:
        return _decoder.decode(body)['error']['message']
    except msgspec.DecodeError:
        return ''
