"""Distinguishes crashes of endpoints from a network failure of this instance."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.recovery.quarantine_settings import QuarantineSettings

RECENT_USE_MS = 10_000


class CrashMonitor:
    """Records which endpoints are in use and which have crashed recently.

    When the network of this instance fails, the connections to most endpoints
    in use break at once.  This looks like that many crashes, and a second
    network failure would quarantine innocent requests.

    :param settings: how many simultaneous crashes count as a network failure.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._used_ms: OrderedDict[str, int] = OrderedDict()
        self._crashed_ms: OrderedDict[str, int] = OrderedDict()

    def record_use(self, endpoint: str, now_ms: int) -> None:
        """Record that a request is sent to *endpoint*."""
        self._record_time(self._used_ms, endpoint, now_ms)

    def record_crash(self, endpoint: str, now_ms: int) -> bool:
        """Record a crash; return whether it is due to this instance's own network."""
        self._record_time(self._crashed_ms, endpoint, now_ms)
        window_ms = self._settings.own_fault_window_ms
        crashed = count_since(self._crashed_ms, now_ms - window_ms)
        used = count_since(self._used_ms, now_ms - RECENT_USE_MS)
        min_crashes = self._settings.own_fault_share * used
        return crashed >= max(self._settings.own_fault_endpoints, min_crashes)

    def has_crashed_recently(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* crashed within the lifetime of a suspicion."""
        crashed_ms = self._crashed_ms.get(endpoint)
        lifetime_ms = self._settings.suspicion_lifetime_ms
        return crashed_ms is not None and now_ms - crashed_ms < lifetime_ms

    def _record_time(
        self, times: OrderedDict[str, int], endpoint: str, now_ms: int
    ) -> None:
        times[endpoint] = now_ms
        times.move_to_end(endpoint)
        if len(times) > self._settings.fingerprints:
            times.popitem(last=False)


def count_since(times: OrderedDict[str, int], start_ms: int) -> int:
    """Return how many of *times*, in ascending order, are *start_ms* or later."""
    count = 0
    for time_ms in reversed(times.values()):
        if time_ms < start_ms:
            break
        count += 1
    return count
