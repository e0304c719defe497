"""Observations of engines by all reporting instances."""

from __future__ import annotations

from collections import Counter
from math import log2
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from savorychute.gateway.engines.cell_sums import (
    LASTING_HALF_LIFE_MS,
    CellSums,
    observed,
    remaining_shares,
)
from savorychute.gateway.engines.pooled_sums import pool_sums
from savorychute.gateway.engines.speed_cell import CELLS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.engines.pooled_sums import SentSums

MAX_ENGINES = 4_096
# The heaviest rows of a run are enough evidence, and bound the time of a comparison.
MAX_REPORTERS = 24
# Bounds the memory: a row takes about 700 bytes.
MAX_ROWS = 4_096
# A row of this age has lost seven eighths of its weight and is dropped.
MAX_ROW_AGE_MS = 60_000
# Copies of a row that took different ways differ by the time on the way.
SAME_ROW_MS = 100
# A row that its own reporting instance sent gives way to a relayed one after this time.
DIRECT_ROW_MS = 10_000


class SpeedRow(NamedTuple):
    """The observations of one run by one instance, as of the newest of them.

    ``at_ms`` is the time of that observation by the receiver's clock.  ``via`` is the
    instance that sent the row.
    """

    cells: Mapping[int, CellSums]
    at_ms: int
    via: int = 0

    @property
    def rank(self) -> float:
        """Order of rows by the weight that remains of them at any one time."""
        weight = sum(sums.lasting_weight for sums in self.cells.values())
        return log2(weight) + self.at_ms / LASTING_HALF_LIFE_MS

    def decayed(self, now_ms: int) -> dict[int, CellSums]:
        """Return what remains of the observations.

        :param now_ms: the current time.
        """
        lasting, recent = remaining_shares(now_ms - self.at_ms)
        return {
            cell: CellSums(
                sums.lasting_weight * lasting,
                sums.lasting_rate,
                sums.recent_weight * recent,
                sums.recent_rate,
            )
            for cell, sums in self.cells.items()
        }


class PooledSums(NamedTuple):
    """The observations of one run by all instances, as of a time.

    ``observed_ms`` is the time of the newest of them, ``rows`` the number of instances.
    """

    cells: dict[int, CellSums]
    observed_ms: int
    rows: int


def run_key(run: EndpointRun) -> int:
    """Return a number that identifies a run in messages.

    :param run: the run.
    """
    text = f'{run.endpoint}\0{run.born_ms}'
    return int(xxhash.xxh32_intdigest(text.encode()))


def reporter_id(instance: str) -> int:
    """Return a number that identifies an instance in messages.

    Two instances with the same number replace the rows of each other, which loses some
    evidence but counts none twice.

    :param instance: name of the instance.
    """
    return int(xxhash.xxh32_intdigest(instance.encode())) & 0xFFFF


class SpeedEvidence:
    """Holds one row for each run and reporting instance.

    A newer row replaces the one before it, so rows may be repeated, lost or arrive in
    any order.  Runs are identified by :func:`run_key`, and reporting instances by
    :func:`reporter_id`.  What one instance sends, also of others, has the weight of one
    instance at most.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self.own = reporter_id(instance)
        self._rows: dict[int, dict[int, SpeedRow]] = {}
        self._count = 0
        self._current: dict[str, EndpointRun] = {}
        self._keys: dict[EndpointRun, int] = {}
        self._changed: dict[tuple[int, int], None] = {}

    def __len__(self) -> int:
        return self._count

    def key(self, run: EndpointRun) -> int | None:
        """Return the key of a run, or None if a later run of that name is known.

        :param run: the run; it ends what is known of earlier ones of the name.
        """
        key = self._keys.get(run)
        if key is not None:
            return key
        known = self._current.get(run.endpoint)
        if known is not None:
            if run.born_ms < known.born_ms:
                return None
            self._drop(self._keys.pop(known))
        self._current[run.endpoint] = run
        self._keys[run] = key = run_key(run)
        if len(self._current) > MAX_ENGINES:
            oldest = self._current.pop(next(iter(self._current)))
            self._drop(self._keys.pop(oldest))
        return key

    def observe(
        self,
        run: EndpointRun,
        cell: int,
        ms_per_unit: float,
        now_ms: int,
        weight: float = 1.0,
    ) -> None:
        """Add an observation of this instance.

        :param run: the observed run.
        :param cell: the cell of comparable observations.
        :param ms_per_unit: the measured time, by the unit of the cell.
        :param now_ms: the current time.
        :param weight: number of observations that it stands for.
        """
        key = self.key(run)
        if key is None or ms_per_unit <= 0.0:
            return
        new = observed(1.0 / ms_per_unit, weight)
        if not new.is_valid:
            return
        row = self._rows.get(key, {}).get(self.own)
        cells = {} if row is None else row.decayed(now_ms)
        known = cells.get(cell)
        cells[cell] = (new if known is None else known.plus(new)).capped()
        self._put(key, self.own, SpeedRow(cells, now_ms, self.own))

    def merge(self, reporter: int, key: int, row: SpeedRow) -> bool:
        """Store a row that another instance sent; return whether it is valid.

        :param reporter: the instance that made it.
        :param key: the run.
        :param row: its observations; an older one than the stored one is ignored.
        """
        if not row.cells or not all(
            0 <= cell < CELLS and sums.is_valid for cell, sums in row.cells.items()
        ):
            return False
        if reporter == self.own:
            return True
        known = self._rows.get(key, {}).get(reporter)
        if known is None or _replaces(reporter, row, known):
            cells = {cell: sums.capped() for cell, sums in row.cells.items()}
            self._put(key, reporter, row._replace(cells=cells))
        return True

    def pop_changed(self) -> tuple[tuple[int, int], ...]:
        """Return the rows, as run and reporter, that are new since the last call."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def row(self, key: int, reporter: int) -> SpeedRow | None:
        """Return a row, or None.

        :param key: the run.
        :param reporter: the instance that made it.
        """
        return self._rows.get(key, {}).get(reporter)

    def pool(self, key: int, now_ms: int) -> PooledSums | None:
        """Return the observations of a run by all instances, or None.

        :param key: the run.
        :param now_ms: the current time.
        """
        rows = self._rows.get(key)
        if not rows:
            return None
        by_cell: dict[int, list[SentSums]] = {}
        for row in rows.values():
            lasting, recent = remaining_shares(now_ms - row.at_ms)
            via = row.via
            for cell, (weight, rate, recent_weight, recent_rate) in row.cells.items():
                by_cell.setdefault(cell, []).append(
                    (via, weight * lasting, rate, recent_weight * recent, recent_rate)
                )
        cells = {cell: pool_sums(sums) for cell, sums in by_cell.items()}
        observed_ms = max([row.at_ms for row in rows.values()])
        return PooledSums(cells, observed_ms, len(rows))

    def expire(self, now_ms: int) -> None:
        """Drop the rows that have aged.

        :param now_ms: the current time.
        """
        for key, rows in list(self._rows.items()):
            for reporter, row in list(rows.items()):
                if now_ms - row.at_ms > MAX_ROW_AGE_MS:
                    self._remove(key, reporter)

    def _put(self, key: int, reporter: int, row: SpeedRow) -> None:
        # Changed runs and rows move to the end, so that the first ones are the oldest.
        rows = self._rows.pop(key, {})
        self._rows[key] = rows
        if rows.pop(reporter, None) is None:
            self._count += 1
        rows[reporter] = row
        self._changed[key, reporter] = None
        if len(rows) > MAX_REPORTERS:
            self._remove(key, _find_excess(rows, self.own))
        while self._count > MAX_ROWS or len(self._rows) > MAX_ENGINES:
            self._drop(next(iter(self._rows)))

    def _remove(self, key: int, reporter: int) -> None:
        rows = self._rows[key]
        del rows[reporter]
        self._count -= 1
        if not rows:
            del self._rows[key]

    def _drop(self, key: int) -> None:
        self._count -= len(self._rows.pop(key, ()))


def _find_excess(rows: Mapping[int, SpeedRow], own: int) -> int:
    """Return the lightest row of those that sent most, so that none displaces others."""
    others = {reporter: row for reporter, row in rows.items() if reporter != own}
    senders = Counter(row.via for row in others.values())
    most = max(senders.values())
    candidates = [each for each, row in others.items() if senders[row.via] == most]
    return min(candidates, key=lambda each: others[each].rank)


def _replaces(reporter: int, row: SpeedRow, known: SpeedRow) -> bool:
    """Return whether a row is newer than a known one of its reporting instance."""
    newer_ms = row.at_ms - known.at_ms
    if known.via == reporter and row.via != reporter:
        return newer_ms > DIRECT_ROW_MS
    return newer_ms > SAME_ROW_MS
