"""Settings of organisation limits."""

from __future__ import annotations

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """Durations and sizes of shares.

    ``burst_ms`` is how long an unused rate accumulates.  A share is valid for
    ``grant_ms`` from the report to which it responds, and its floor for ``floor_ms``;
    the floor is ``floor_share`` of the share.  Shares are valid for longer than it
    takes to detect the death of a home; otherwise its successor would not learn of
    them.  ``detection_ms`` bounds how long members that can reach each other disagree
    on who is alive, and ``in_progress_ms`` how long work that started under an expired
    share is counted.  ``left_ms`` is how long a home waits for the report of a member
    that left gracefully.  A majority forgets a lost member after ``forget_ms``, a
    minority after ``minority_forget_ms``.

    A used organisation is reported every ``report_interval_ms``; already after
    ``sunk_interval_ms`` if its demand has fallen below half, and after
    ``pressure_interval_ms`` if refused requests need more units, or reclaimed ones have
    become free.  Units are divided again after ``division_interval_ms``, or after
    ``urgent_division_interval_ms`` if more are wanted, or if some have become free
    while an instance lacks units.  If there are fewer units than instances that want
    some, other instances receive them every ``turn_ms``.  An instance wants spare units
    of an organisation for ``spare_memory_ms`` after its last use.
    """

    burst_ms: int = 1_000
    max_retry_after_ms: int = 30_000
    grant_ms: int = 12_000
    floor_ms: int = 120_000
    floor_share: float = 0.2
    detection_ms: int = 8_000
    in_progress_ms: int = 30_000
    left_ms: int = 2_000
    forget_ms: int = 60_000
    minority_forget_ms: int = 7_200_000
    report_interval_ms: int = 1_000
    pressure_interval_ms: int = 50
    sunk_interval_ms: int = 250
    division_interval_ms: int = 500
    urgent_division_interval_ms: int = 20
    turn_ms: int = 2_000
    spare_memory_ms: int = 60_000

    @property
    def floor_overrun_ms(self) -> int:
        """How long a floor may be in use after it has expired in a home's records.

        Another home may have renewed it until all members agree on the home, and work
        that started under it continues.
        """
        return self.detection_ms + self.in_progress_ms

    @property
    def unreported_use_ms(self) -> int:
        """How long a share may be in use after the last report of its holder.

        The old home may keep renewing the share for up to the detection time after it
        has been replaced.  The share then lasts for its full duration, and work that
        started under it continues.
        """
        return self.detection_ms + self.grant_ms + self.in_progress_ms
