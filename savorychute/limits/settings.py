"""Settings of organisation limits."""

from __future__ import annotations

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """Durations and sizes of shares.

    ``burst_ms`` is how long an unused rate is saved up.  A share lasts
    ``grant_ms`` from the report that it answers, its floor ``floor_ms``; the
    floor is ``floor_share`` of it.  Shares outlast the time in which a dead home
    is noticed, or its successor would not know them.  ``detection_ms`` bounds how long members
    that can talk to each other disagree on who is alive, and
    ``in_progress_ms`` how long work under an ended share is counted.
    ``left_ms`` is how long a home waits for a member that left gracefully.  A lost
    member is forgotten after ``forget_ms`` by a majority, and after
    ``minority_forget_ms`` by a minority.
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
    def floor_tail_ms(self) -> int:
        """How long a floor may be in use after its end in a home's books.

        Another home may have renewed it until all knew better, and work that
        started under it goes on.
        """
        return self.detection_ms + self.in_progress_ms

    @property
    def unknown_ms(self) -> int:
        """How long a share may be in use after its holder reported last.

        Its home may be replaced unknown to others for the detection time, and
        be renewing until the end of it; then the share lasts, then the work.
        """
        return self.detection_ms + self.grant_ms + self.in_progress_ms
