"""Finds listed instances that have been absent for a long time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

# An instance that was killed or has left comes back within minutes, and regions may
# lose contact for an hour.  One that was replaced under another name never comes back.
ABSENT_REMOVAL_MS = 4 * 3_600_000


class AbsentInstances:
    """Records since when listed instances have been absent."""

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}

    def find_long_absent(self, absent: AbstractSet[str], now_ms: int) -> frozenset[str]:
        """Return instances that have been absent from every call for a long time.

        Each of them is returned once.

        :param absent: instances that are listed and neither alive nor leaving.
        :param now_ms: the current time.
        """
        since_ms = {name: self._since_ms.get(name, now_ms) for name in absent}
        long_absent = frozenset(
            name
            for name, absent_since_ms in since_ms.items()
            if now_ms - absent_since_ms >= ABSENT_REMOVAL_MS
        )
        self._since_ms = {
            name: absent_since_ms
            for name, absent_since_ms in since_ms.items()
            if name not in long_absent
        }
        return long_absent
