"""The scope of a setting."""

from __future__ import annotations

from enum import StrEnum


class Scope(StrEnum):
    """Whether a value applies to one instance or must be equal on all instances."""

    INSTANCE = 'instance'
    DEPLOYMENT = 'deployment'
