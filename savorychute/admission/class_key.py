"""What names a class within a pool."""

from __future__ import annotations

from typing import NamedTuple


class ClassKey(NamedTuple):
    """A class of a customer, in the tier that its requests carry."""

    tier: int
    customer: str
    class_name: str
