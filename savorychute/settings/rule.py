"""A condition between settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')


class Rule(NamedTuple, Generic[T]):
    """What must hold, and the setting that a fault is put down to."""

    name: str
    expectation: str
    holds: Callable[[T], bool]
