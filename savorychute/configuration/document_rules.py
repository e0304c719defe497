"""Validation rules of a document that are independent of other configuration.

The fold applies them, and all instances must reach the same result: no rule may
depend on settings, clocks or installed extensions.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_NAME_CHARACTERS = 128
MAX_TIER = 4
MAX_CLASSES = 64
MAX_TOKEN_HASHES = 256
MAX_MS = 24 * 3_600_000
MAX_COUNT = 2**53
SHARE_UNITS = 10**9
"""Shares are added as integer billionths, so that their order is irrelevant."""

ENDPOINT_STATES = ('active', 'draining', 'retired')
SERVICE_PREFIX = 'service:'

_NAME = re.compile(r'[^\s\x00-\x1f\x7f]+')
_TOKEN_HASH = re.compile(r'[0-9a-f]{64}')


def share_units(share: float) -> int:
    """Convert a share to billionths.

    :param share: a number between 0 and 1.
    """
    return round(share * SHARE_UNITS)


def unknown_fields(document: Mapping[str, Any], document_type: type) -> list[str]:
    """Return the fields of a document that its type does not define.

    :param document: the decoded JSON.
    :param document_type: the TypedDict of the document.
    """
    return sorted(set(document) - set(document_type.__annotations__))


def check_name(field: str, value: str) -> list[str]:
    """Return the faults of a name.

    :param field: the path of the field.
    :param value: the name.
    """
    if len(value) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(value):
        return [
            f'{field}: {value[:40]!r} is no name of 1 to {MAX_NAME_CHARACTERS}'
            ' printable characters without spaces'
        ]
    return []


def check_names(field: str, values: Iterable[str]) -> list[str]:
    """Return the faults of a list of names, which must not contain duplicates.

    :param field: the path of the field.
    :param values: the names.
    """
    faults: list[str] = []
    seen: set[str] = set()
    for value in values:
        faults += check_name(field, value)
        if value in seen:
            faults.append(f'{field}: {value!r} stands twice')
        seen.add(value)
    return faults


def check_models(field: str, values: Iterable[str]) -> list[str]:
    """Return the faults of a list of models.

    :param field: the path of the field.
    :param values: the names of the models.
    """
    models = list(values)
    faults = check_names(field, models)
    for model in models:
        if model.startswith(SERVICE_PREFIX):
            faults.append(f'{field}: {model!r} begins like a service')
    return faults


def check_token_hashes(values: Iterable[str]) -> list[str]:
    """Return the faults of a contract's token hashes.

    :param values: hex SHA-256 digests.
    """
    hashes = list(values)
    faults = []
    if len(hashes) > MAX_TOKEN_HASHES:
        faults.append(f'token_hashes: more than {MAX_TOKEN_HASHES}')
    if len(set(hashes)) != len(hashes):
        faults.append('token_hashes: one stands twice')
    for value in hashes:
        if not _TOKEN_HASH.fullmatch(value):
            faults.append(f'token_hashes: {value[:12]!r}... is no SHA-256 in hex')
    return faults


def check_between(
    field: str, value: float, minimum: float, maximum: float
) -> list[str]:
    """Return a fault if *value* is outside the range or not finite.

    :param field: the path of the field.
    :param value: the value.
    :param minimum: the smallest allowed value.
    :param maximum: the largest allowed value.
    """
    if math.isfinite(value) and minimum <= value <= maximum:
        return []
    return [f'{field}: {value} is not between {minimum} and {maximum}']


def check_positive(field: str, value: float, maximum: float = MAX_COUNT) -> list[str]:
    """Return a fault unless *value* is above 0, finite and at most *maximum*.

    :param field: the path of the field.
    :param value: the value.
    :param maximum: the largest allowed value.
    """
    if math.isfinite(value) and 0 < value <= maximum:
        return []
    return [f'{field}: {value} is not above 0 and at most {maximum}']
