"""Remembers which callers were sent to another instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.requests.key_settings import KeySettings


class RedirectMemory:
    """Tells a key that comes back from one that comes first.

    :param settings: how long and how many are remembered.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._sent_ms: dict[str, int] = {}

    def is_repeated(self, key_text: str, now_ms: int) -> bool:
        """Return whether the key was here lately, and remember it.

        :param key_text: the key.
        :param now_ms: the time.
        """
        sent_ms = self._sent_ms.pop(key_text, None)
        self._sent_ms[key_text] = now_ms
        if len(self._sent_ms) > self._settings.max_redirects:
            del self._sent_ms[next(iter(self._sent_ms))]
        if sent_ms is None:
            return False
        return now_ms - sent_ms <= self._settings.redirect_memory_ms
