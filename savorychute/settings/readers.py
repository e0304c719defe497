"""Readers that return a value or raise an error with the expected value."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from savorychute.settings.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_PORT = 65_535
NAME = re.compile(r'[a-z0-9][a-z0-9.-]{0,62}')
TOKEN_HASH = re.compile(r'[0-9a-f]{64}')


def read_name(value: Any) -> str:
    """Return a name: lower-case letters, digits, dots and hyphens."""
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise ValueError('a name of 1 to 63 of a-z, 0-9, "." and "-"')
    return value


def read_text(value: Any) -> str:
    """Return a string."""
    if not isinstance(value, str):
        raise ValueError('a string')
    return value


def read_texts(value: Any) -> tuple[str, ...]:
    """Return a list of strings."""
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise ValueError('a list of strings')
    return tuple(value)


def integer_reader(minimum: int, maximum: int) -> Callable[[Any], int]:
    """Return a reader of integers.

    :param minimum: the smallest accepted value.
    :param maximum: the largest accepted value.
    """

    def read(value: Any) -> int:
        # Otherwise JSON's true would be accepted as 1.
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not minimum <= value <= maximum:
            raise ValueError(f'a whole number from {minimum} to {maximum}')
        return int(value)

    return read


def number_reader(minimum: float, maximum: float) -> Callable[[Any], float]:
    """Return a reader of numbers, with or without a fraction.

    :param minimum: the smallest accepted value.
    :param maximum: the largest accepted value.
    """

    def read(value: Any) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum:
            raise ValueError(f'a number from {minimum:g} to {maximum:g}')
        return float(value)

    return read


def read_boolean(value: Any) -> bool:
    """Return a Boolean."""
    if not isinstance(value, bool):
        raise ValueError('true or false')
    return value


def read_share(value: Any) -> float:
    """Return a number from 0 to 1."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= 1:
        raise ValueError('a number from 0 to 1')
    return float(value)


def choice_reader(choices: Iterable[str]) -> Callable[[Any], str]:
    """Return a reader that accepts one of *choices*."""
    known = tuple(choices)

    def read(value: Any) -> str:
        if value not in known:
            raise ValueError(f'one of {", ".join(known)}')
        return str(value)

    return read


def read_address(value: Any) -> NetworkAddress:
    """Return a host and a port from ``host:port``."""
    if isinstance(value, str):
        host, _, port = value.rpartition(':')
        is_number = port.isascii() and port.isdigit()
        if host and is_number and 0 < int(port) <= MAX_PORT:
            return NetworkAddress(host, int(port))
    raise ValueError('an address such as "10.0.0.1:7000"')


def read_token_hashes(value: Any) -> dict[str, str]:
    """Return SHA-256 digests in hex by operator."""
    if not isinstance(value, dict):
        raise ValueError('an object of operators and SHA-256 digests in hex')
    for operator, digest in value.items():
        read_name(operator)
        if not isinstance(digest, str) or not TOKEN_HASH.fullmatch(digest):
            raise ValueError('a SHA-256 digest, 64 of 0-9 and a-f, for each operator')
    return dict(value)
