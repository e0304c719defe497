"""What names a class within a pool."""

from __future__ import annotations

from typing import NamedTuple


class ClassKey(NamedTuple):
    """A class of an organisation, in the tier that its requests carry."""

    tier: int
    organisation: str
    class_name: str
