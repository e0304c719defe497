"""A table of the speeds of engines, as instances logged them."""

from __future__ import annotations

from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.explain.log_line import LogLine

SPEED_EVENTS = ('engine-speed', 'engine-slow', 'engine-well')
SLOW_EVENT = 'engine-slow'


class EngineRow(NamedTuple):
    """An engine by the newest line of each instance.

    Speeds are medians over the instances, in per cent of the usual speed of the service.
    ``observations`` is the largest evidence of an instance, ``age_s`` how long before
    the end of the logs an instance last logged the engine, and ``slow_reports`` how often
    an instance found it to be slow.
    """

    service: str
    engine: str
    speed_percent: float
    prefill_percent: float
    generation_percent: float
    observations: int
    instances: int
    slow_reports: int
    age_s: float


def list_engines(lines: Sequence[LogLine]) -> list[EngineRow]:
    """Return the engines in some logs, the slowest of each service first.

    :param lines: the log lines of any instances, sorted by time.
    """
    newest: dict[tuple[str, str], dict[str, LogLine]] = defaultdict(dict)
    slow_reports: dict[tuple[str, str], int] = defaultdict(int)
    for line in lines:
        if line.event in SPEED_EVENTS:
            engine = _text(line, 'service'), _text(line, 'endpoint')
            newest[engine][line.instance] = line
            slow_reports[engine] += line.event == SLOW_EVENT
    rows = [
        _make_row(engine, list(by_instance.values()), slow_reports[engine], lines[-1])
        for engine, by_instance in newest.items()
    ]
    return sorted(rows, key=lambda row: (row.service, row.speed_percent, row.engine))


def _make_row(
    engine: tuple[str, str], lines: Sequence[LogLine], slow_reports: int, last: LogLine
) -> EngineRow:
    service, endpoint = engine
    return EngineRow(
        service,
        endpoint,
        median(_number(line, 'speed_percent') for line in lines),
        median(_number(line, 'prefill_percent') for line in lines),
        median(_number(line, 'generation_percent') for line in lines),
        round(max(_number(line, 'count') for line in lines)),
        len(lines),
        slow_reports,
        last.timestamp_s - max(line.timestamp_s for line in lines),
    )


def _text(line: LogLine, name: str) -> str:
    return str(line.fields.get(name, ''))


def _number(line: LogLine, name: str) -> float:
    value = line.fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0
