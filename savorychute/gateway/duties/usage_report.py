"""The requests that all endpoints started in a window, by organisation."""

from __future__ import annotations

from typing import NamedTuple


class UsageReport(NamedTuple):
    """A window, and the requests of each organisation that started in it, by name."""

    window: int
    counts: tuple[tuple[str, int], ...]


def make_usage_report(window: int, counts: dict[str, int]) -> UsageReport:
    """Return a report whose encoding depends on the counts alone."""
    return UsageReport(window, tuple(sorted(counts.items())))
