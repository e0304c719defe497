"""How widely a setting's value is shared."""

from __future__ import annotations

from enum import StrEnum


class Scope(StrEnum):
    """Whether a value belongs to one instance or must agree everywhere."""

    INSTANCE = 'instance'
    DEPLOYMENT = 'deployment'
