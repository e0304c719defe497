"""Reader of the setting that lists the keys between instances."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from savorychute.wire.peer_key import (
    MAX_KEY_ID,
    MAX_SECRET_BYTES,
    MIN_SECRET_BYTES,
    PeerKey,
)
from savorychute.wire.peer_keys import PeerKeys

MAX_KEYS = 4
EXPECTED = (
    'a list of 1 to 4 objects {"key_id": 1 to 65535, '
    '"secret_file": a file with 32 to 128 hex digits}, the signing key first'
)


def read_peer_keys(value: Any) -> PeerKeys:
    """Return the keys; the first one is the signing key.

    Each object contains either a ``secret_file`` or the ``secret`` itself, both with
    hex digits.

    :param value: the list in the settings file.
    :raises ValueError: if the list is invalid; the message never contains a secret.
    """
    if not isinstance(value, list) or not 0 < len(value) <= MAX_KEYS:
        raise ValueError(EXPECTED)
    keys = tuple(_read_key(item) for item in value)
    if len({key.key_id for key in keys}) != len(keys):
        raise ValueError('keys with different key_id')
    return PeerKeys(keys[0], keys[1:])


def _read_key(item: Any) -> PeerKey:
    if not isinstance(item, dict) or not set(item) <= {
        'key_id',
        'secret',
        'secret_file',
    }:
        raise ValueError(EXPECTED)
    key_id = item.get('key_id')
    if not isinstance(key_id, int) or not 0 < key_id <= MAX_KEY_ID:
        raise ValueError(EXPECTED)
    return PeerKey(key_id, _read_secret(item))


def _read_secret(item: dict[str, Any]) -> bytes:
    if ('secret' in item) == ('secret_file' in item):
        raise ValueError('either "secret" or "secret_file" in each key')
    try:
        text = item['secret'] if 'secret' in item else _read_file(item['secret_file'])
        secret = bytes.fromhex(text)
    except (TypeError, ValueError):
        raise ValueError('a secret of hex digits') from None
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise ValueError('a secret of 32 to 128 hex digits')
    return secret


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text('ascii').strip()
    except (OSError, TypeError, UnicodeDecodeError):
        raise ValueError('a secret_file that can be read') from None
