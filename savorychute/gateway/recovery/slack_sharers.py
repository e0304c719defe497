"""The instances that share the slack of the retry bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class SlackSharers:
    """Counts the instances that may have sent retries within the window.

    Instances that were killed or have left count as long as the store lists them: their
    retries are still within the window, and their next run receives a share again.
    """

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()

    @property
    def count(self) -> int | None:
        """The number of instances; None before any is known."""
        return len(self._names) or None

    def set_listed(self, names: frozenset[str]) -> None:
        """Replace all known names by those that the store lists.

        :param names: the names of instances that run, have left or were killed.
        """
        self._names = names

    def add_alive(self, names: Iterable[str]) -> None:
        """Add instances that are alive; they may have started since the listing.

        :param names: their names.
        """
        self._names = self._names.union(names)
