"""The key of a class within a pool."""

from __future__ import annotations

from typing import NamedTuple


class ClassKey(NamedTuple):
    """A class of an organisation, with the tier of its requests."""

    tier: int
    organisation: str
    class_name: str
