"""Turns the events of streams into observations of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.engines.gap_sampler import MIN_GAP_MS, GapSampler
from savorychute.gateway.engines.speed_cell import (
    ANY_STATE_CELL,
    MIN_PREFILL_TOKENS,
    generation_cell,
    prefill_cell,
    prefill_units,
)

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.engines.shared_speeds import SharedSpeeds

# A report without prefills describes an engine for this time.  With 1,500 ms, engines of
# equal speed seemed to differ by a factor of 2.5 at 0.9 of their capacity.
QUIET_REPORT_MS = 400
# How much of a prompt an engine has cached is only estimated, so one prefill shows less
# than one gap.
PREFILL_WEIGHT = 0.3


# Gaps in any state are many, and successive ones not independent.
ANY_STATE_WEIGHT = 0.5
GAPS_IN_ANY_STATE = 3


class StreamWatch:
    """Observes one stream.

    :param speeds: receives the observations.
    :param record: the engine that generates the stream.
    """

    __slots__ = ('_gaps', '_record', '_sampler', '_speeds')

    def __init__(self, speeds: SharedSpeeds, record: EndpointRecord) -> None:
        self._speeds = speeds
        self._record = record
        self._sampler = GapSampler()
        self._gaps: list[int] = []

    def record_first_event(
        self, fresh_tokens: int, duration_ms: int, now_ms: int
    ) -> None:
        """Record the first event of a request that an idle engine got.

        :param fresh_tokens: tokens that the engine was expected to prefill.
        :param duration_ms: time since the request was sent.
        :param now_ms: the current time.
        """
        if fresh_tokens >= MIN_PREFILL_TOKENS and duration_ms > 0:
            time = duration_ms / prefill_units(fresh_tokens)
            cell = prefill_cell(fresh_tokens)
            self._observe(cell, time, now_ms, PREFILL_WEIGHT)

    def record_gap(self, gap_ms: int, now_ms: int) -> None:
        """Record a gap between two events.

        :param gap_ms: the gap.
        :param now_ms: the current time.
        """
        if gap_ms >= MIN_GAP_MS:
            self._record_in_any_state(gap_ms, now_ms)
        self._record_without_prefill(gap_ms, now_ms)

    def _record_in_any_state(self, gap_ms: int, now_ms: int) -> None:
        """Record the shortest of a few gaps."""
        self._gaps.append(gap_ms)
        if len(self._gaps) >= GAPS_IN_ANY_STATE:
            self._observe(ANY_STATE_CELL, min(self._gaps), now_ms, ANY_STATE_WEIGHT)
            self._gaps.clear()

    def _record_without_prefill(self, gap_ms: int, now_ms: int) -> None:
        """Record a gap, unless the engine may prefill: then it shows the load."""
        record = self._record
        load = record.load
        if load is None or now_ms - record.report_received_ms > QUIET_REPORT_MS:
            return
        if load.waiting + load.prefilling + record.pending_prefill_tokens():
            return
        cell = generation_cell(load.generating)
        sample_ms = self._sampler.add(gap_ms, cell)
        if sample_ms is not None:
            self._observe(cell, sample_ms, now_ms)

    def _observe(
        self, cell: int, ms_per_unit: float, now_ms: int, weight: float = 1.0
    ) -> None:
        entry = self._record.entry
        self._speeds.observe(
            entry.run, entry.service, cell, ms_per_unit, now_ms, weight
        )
