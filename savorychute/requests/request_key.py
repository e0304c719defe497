"""Parsing and formatting of request keys."""

from __future__ import annotations

import uuid
from typing import NamedTuple
from urllib.parse import quote, unquote

from savorychute.errors import RequestError
from savorychute.result_code import ResultCode

ISSUED_PREFIX = 'k1'
FIELD_SEPARATOR = ':'
FIELD_COUNT = 8
MAX_KEY_CHARACTERS = 256
TIME_ORDERED_UUID_VERSION = 7
TIME_SHIFT_BITS = 80


class RequestKey(NamedTuple):
    """A parsed request key.

    An issued key names its issuer and its witness with their incarnations.
    ``sequence`` and ``issued_ms`` are the count and the monotonic time of the
    issuer.  ``tag`` cannot be guessed and is checked only by the issuer.  A
    caller-supplied key is a UUIDv7 (RFC 9562): ``sequence`` is its 128 bits,
    ``issued_ms`` its Unix time, and the other fields are empty.
    """

    text: str
    issued: bool
    sequence: int
    issued_ms: int
    instance: str = ''
    incarnation: int = 0
    witness: str = ''
    witness_incarnation: int = 0
    tag: str = ''


def format_fields(key: RequestKey) -> str:
    """Return the text of an issued key without its tag.

    :param key: the key; ``text`` and ``tag`` are not used.
    """
    fields = (
        ISSUED_PREFIX,
        quote(key.instance, safe=''),
        f'{key.incarnation:x}',
        quote(key.witness, safe=''),
        f'{key.witness_incarnation:x}',
        f'{key.sequence:x}',
        f'{key.issued_ms:x}',
    )
    return FIELD_SEPARATOR.join(fields)


def parse_key(text: str) -> RequestKey:
    """Return the key that *text* represents.

    :param text: an issued key or a UUIDv7.
    :raises RequestError: ``KEY_MALFORMED`` if it is neither.
    """
    if len(text) > MAX_KEY_CHARACTERS:
        raise _malformed(text, 'is too long')
    if text.startswith(ISSUED_PREFIX + FIELD_SEPARATOR):
        return _parse_issued(text)
    return _parse_caller_key(text)


def _parse_issued(text: str) -> RequestKey:
    fields = text.split(FIELD_SEPARATOR)
    if len(fields) != FIELD_COUNT:
        raise _malformed(text, f'has {len(fields)} fields, not {FIELD_COUNT}')
    try:
        key = RequestKey(
            text=text,
            issued=True,
            sequence=int(fields[5], 16),
            issued_ms=int(fields[6], 16),
            instance=unquote(fields[1]),
            incarnation=int(fields[2], 16),
            witness=unquote(fields[3]),
            witness_incarnation=int(fields[4], 16),
            tag=fields[7],
        )
    except ValueError:
        raise _malformed(text, 'has a field that is no number') from None
    # Keys are compared by their text, so each key must have exactly one spelling.
    if f'{format_fields(key)}{FIELD_SEPARATOR}{key.tag}' != text:
        raise _malformed(text, 'is not spelled as it was issued')
    return key


def _parse_caller_key(text: str) -> RequestKey:
    try:
        value = uuid.UUID(text)
    except ValueError:
        raise _malformed(text, 'is neither an issued key nor a UUID') from None
    if value.version != TIME_ORDERED_UUID_VERSION:
        raise _malformed(text, 'is not a UUID of version 7')
    return RequestKey(str(value), False, value.int, value.int >> TIME_SHIFT_BITS)


def _malformed(text: str, problem: str) -> RequestError:
    message = f'request key {text[:MAX_KEY_CHARACTERS]!r} {problem}'
    return RequestError(ResultCode.KEY_MALFORMED, message)
