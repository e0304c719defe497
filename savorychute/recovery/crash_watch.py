"""Tells crashes of endpoints from the loss of the own network."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.recovery.quarantine_settings import QuarantineSettings

RECENT_USE_MS = 10_000


class CrashWatch:
    """Remembers which endpoints are in use and which crashed lately.

    When this instance loses its network, connections to most endpoints in use
    break at once.  That looks like as many crashes, and a second loss would
    convict innocent requests.

    :param settings: how many crashes at once are taken for an own fault.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._used_ms: OrderedDict[str, int] = OrderedDict()
        self._crashed_ms: OrderedDict[str, int] = OrderedDict()

    def use(self, endpoint: str, now_ms: int) -> None:
        """Take note that a request is sent to *endpoint*."""
        self._remember(self._used_ms, endpoint, now_ms)

    def crash(self, endpoint: str, now_ms: int) -> bool:
        """Take note of a crash; true if this instance is at fault itself."""
        self._remember(self._crashed_ms, endpoint, now_ms)
        window_ms = self._settings.own_fault_window_ms
        crashed = count_since(self._crashed_ms, now_ms - window_ms)
        used = count_since(self._used_ms, now_ms - RECENT_USE_MS)
        suspicious = self._settings.own_fault_share * used
        return crashed >= max(self._settings.own_fault_endpoints, suspicious)

    def crashed_lately(self, endpoint: str, now_ms: int) -> bool:
        """Return whether *endpoint* crashed within a suspicion's lifetime."""
        crashed_ms = self._crashed_ms.get(endpoint)
        lifetime_ms = self._settings.suspicion_lifetime_ms
        return crashed_ms is not None and now_ms - crashed_ms < lifetime_ms

    def _remember(
        self, times: OrderedDict[str, int], endpoint: str, now_ms: int
    ) -> None:
        times[endpoint] = now_ms
        times.move_to_end(endpoint)
        if len(times) > self._settings.fingerprints:
            times.popitem(last=False)


def count_since(times: OrderedDict[str, int], start_ms: int) -> int:
    """Return how many of *times*, oldest first, are not before *start_ms*."""
    count = 0
    for time_ms in reversed(times.values()):
        if time_ms < start_ms:
            break
        count += 1
    return count
