"""A limit on the number of values of a label."""

from __future__ import annotations

MAX_LABEL_VALUES = 256
OTHER = 'other'


class LabelLimiter:
    """Limits the number of distinct values of a label.

    An organisation that sends arbitrary names must not increase the instance's
    memory without limit: beyond the limit every new value counts as ``other``.

    :param limit: the maximum number of distinct values.
    """

    def __init__(self, limit: int = MAX_LABEL_VALUES) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def admit(self, value: str) -> str:
        """Return *value*, or ``other`` if it is new and the limit is reached."""
        if value in self._known:
            return value
        if len(self._known) >= self._limit:
            return OTHER
        self._known.add(value)
        return value
