"""Instances that are listed and have been gone for long."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

# An instance that was killed or has left comes back within minutes, and regions may lose
# each other for an hour.  One that was replaced under another name never comes back.
LASTING_MS = 4 * 3_600_000


class AbsentInstances:
    """Remembers since when listed instances have been gone."""

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}

    def find_lasting(self, gone: AbstractSet[str], now_ms: int) -> frozenset[str]:
        """Return, once, those that have been gone at every look for long.

        :param gone: instances that are listed and neither alive nor leaving.
        :param now_ms: the time.
        """
        since_ms = {name: self._since_ms.get(name, now_ms) for name in gone}
        lasting = frozenset(
            name for name, at_ms in since_ms.items() if now_ms - at_ms >= LASTING_MS
        )
        self._since_ms = {
            name: at_ms for name, at_ms in since_ms.items() if name not in lasting
        }
        return lasting
