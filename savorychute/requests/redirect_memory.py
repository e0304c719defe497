"""Bounded memory of keys whose callers were redirected."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.requests.key_settings import KeySettings


class RedirectMemory:
    """Distinguishes the retry of a redirected key from its first arrival.

    :param settings: how long and how many redirects are remembered.
    """

    def __init__(self, settings: KeySettings) -> None:
        self._settings = settings
        self._redirected_ms: dict[str, int] = {}

    def is_retry(self, key_text: str, now_ms: int) -> bool:
        """Record the key and return whether it was recorded recently.

        :param key_text: the key.
        :param now_ms: the current time.
        """
        redirected_ms = self._redirected_ms.pop(key_text, None)
        self._redirected_ms[key_text] = now_ms
        if len(self._redirected_ms) > self._settings.max_redirects:
            del self._redirected_ms[next(iter(self._redirected_ms))]
        if redirected_ms is None:
            return False
        return now_ms - redirected_ms <= self._settings.redirect_memory_ms
