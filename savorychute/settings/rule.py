"""A condition between settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')


class Rule(NamedTuple, Generic[T]):
    """A condition, and the name of the setting that a fault is reported for."""

    name: str
    expectation: str
    holds: Callable[[T], bool]
