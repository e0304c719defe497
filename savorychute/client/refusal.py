"""Parser of error responses."""

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


def is_of_instance(response: ResponseStream) -> bool:
    """Return whether an instance sent the response, and not an intermediary.

    :param response: a response whose head has arrived.
    """
    return 'x-result-code' in response.headers


def is_refusal(response: ResponseStream) -> bool:
    """Return whether the response is an error of the system, not of an endpoint.

    :param response: a response whose head has arrived.
    """
    return response.headers.get('x-result-code', '0') != '0'


def read_code(response: ResponseStream) -> ResultCode | None:
    """Return the result code of a response, or None if it is unknown.

    :param response: a response whose head has arrived.
    """
    return CODES.get(_read_number(response.headers.get('x-result-code', '')))


def read_refusal(response: ResponseStream, body: bytes) -> CallError:
    """Return a refusal as an exception.

    If the refusal cannot be parsed, the worst case is assumed: the request may have
    run.

    :param response: a response whose head has arrived.
    :param body: the complete body.
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

    :param response: a response whose head has arrived.
    :param data: the JSON document of the event.
    """
    code: ResultCode | None = None
    ran = Ran.UNKNOWN
    message = 'the response was truncated'
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
