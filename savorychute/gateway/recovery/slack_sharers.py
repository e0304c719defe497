"""The instances that share the slack of the retry bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class SlackSharers:
    """Counts the instances that may have sent repeats within the window.

    Those that were killed or have left count as long as the store lists them: what they
    spent is still in the window, and their next run has their part again.
    """

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()

    @property
    def count(self) -> int | None:
        """How many there are; None before any is known."""
        return len(self._names) or None

    def list(self, names: frozenset[str]) -> None:
        """Take the names that the store lists, in place of all that were known.

        :param names: those of instances that run, have left or were killed.
        """
        self._names = names

    def meet(self, names: Iterable[str]) -> None:
        """Take in instances that are alive, which may have started since the listing.

        :param names: their names.
        """
        self._names = self._names.union(names)
