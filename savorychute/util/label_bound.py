"""A bound on the values of a label."""

from __future__ import annotations

MAX_LABEL_VALUES = 256
OTHER = 'other'


class LabelBound:
    """Keeps the number of a label's values bounded.

    An organisation that makes up names must not make the instance's memory grow:
    past the bound every new value counts as ``other``.

    :param limit: how many values are told apart.
    """

    def __init__(self, limit: int = MAX_LABEL_VALUES) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def admit(self, value: str) -> str:
        """Return *value*, or ``other`` if there are too many already."""
        if value in self._known:
            return value
        if len(self._known) >= self._limit:
            return OTHER
        self._known.add(value)
        return value
