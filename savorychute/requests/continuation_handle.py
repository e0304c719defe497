"""Continuation handles, with which callers resume a stream."""

from __future__ import annotations

import base64
import binascii
from typing import NamedTuple

import msgspec

from savorychute.errors import RequestError
from savorychute.result_code import ResultCode

HANDLE_PREFIX = 'h1.'
MAX_HANDLE_CHARACTERS = 1024


class ContinuationHandle(NamedTuple):
    """A stream on an engine and the first token that the caller has not received.

    Only the caller stores the handle; any instance can resume the stream at
    ``offset``.  ``organisation`` is checked against the caller's token.
    """

    endpoint: str
    stream_id: str
    offset: int
    organisation: str = ''
    class_name: str = ''
    pool: str = ''

    def encode(self) -> str:
        """Return the handle as text that is valid in an HTTP header."""
        encoded = base64.urlsafe_b64encode(msgspec.json.encode(self))
        return HANDLE_PREFIX + encoded.decode().rstrip('=')


def decode_handle(text: str) -> ContinuationHandle:
    """Return the handle that *text* encodes.

    :param text: the result of :meth:`ContinuationHandle.encode`.
    :raises RequestError: ``HANDLE_MALFORMED`` if *text* is not a valid handle.
    """
    if not text.startswith(HANDLE_PREFIX) or len(text) > MAX_HANDLE_CHARACTERS:
        raise _malformed(text)
    encoded = text.removeprefix(HANDLE_PREFIX)
    padding = '=' * (-len(encoded) % 4)
    try:
        document = base64.urlsafe_b64decode(encoded + padding)
        handle = msgspec.json.decode(document, type=ContinuationHandle)
    except (binascii.Error, ValueError):
        raise _malformed(text) from None
    if handle.offset < 0:
        raise _malformed(text)
    return handle


def _malformed(text: str) -> RequestError:
    message = f'continuation handle {text[:MAX_HANDLE_CHARACTERS]!r} cannot be read'
    return RequestError(ResultCode.HANDLE_MALFORMED, message)
