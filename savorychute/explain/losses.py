"""A table of what was lost, by route, cause and time."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.explain.loss_cause import LossCause, find_cause

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from savorychute.explain.log_line import LogLine

FINISHED = 'request-finished'
OMITTED = 'log-lines-omitted'
# Seconds of one cause that are named, the worst ones.
WORST_SECONDS = 3
# Endpoints of one cause that are named, those with the most.
WORST_ENDPOINTS = 3


class LossRow(NamedTuple):
    """Requests of one route with one cause.

    ``seconds`` are the worst ones, counted from the first request of the logs, with their
    numbers; ``endpoints`` those that had the last attempt of most.
    """

    route: str
    rank: int
    cause: LossCause
    requests: int
    share: float
    seconds: tuple[tuple[int, int], ...]
    endpoints: tuple[tuple[str, int], ...]


class LossTable(NamedTuple):
    """All rows, and how many lines the logs say that they lack."""

    rows: tuple[LossRow, ...]
    omitted_lines: int


def count_losses(lines: Sequence[LogLine]) -> LossTable:
    """Return what became of the requests in some logs.

    :param lines: of any instances, by time.
    """
    finished = [line for line in lines if line.event == FINISHED]
    omitted = sum(
        int(line.fields.get('count', 0)) for line in lines if line.event == OMITTED
    )
    if not finished:
        return LossTable((), omitted)
    begin_s = finished[0].timestamp_s
    by_route: dict[str, list[LogLine]] = defaultdict(list)
    for line in finished:
        by_route[str(line.fields.get('item', ''))].append(line)
    rows = [
        row
        for route, requests in by_route.items()
        for row in _count_route(route, requests, begin_s)
    ]
    rows.sort(key=lambda row: (row.rank, row.route, list(LossCause).index(row.cause)))
    return LossTable(tuple(rows), omitted)


def _count_route(
    route: str, requests: Sequence[LogLine], begin_s: float
) -> Iterable[LossRow]:
    by_cause: dict[LossCause, list[LogLine]] = defaultdict(list)
    for line in requests:
        by_cause[find_cause(line.fields)].append(line)
    rank = min(int(line.fields.get('rank', 0)) for line in requests)
    for cause, lines in by_cause.items():
        seconds = Counter(int(line.timestamp_s - begin_s) for line in lines)
        endpoints = Counter(str(line.fields.get('endpoint', '')) for line in lines)
        yield LossRow(
            route,
            rank,
            cause,
            len(lines),
            len(lines) / len(requests),
            tuple(seconds.most_common(WORST_SECONDS)),
            tuple(endpoints.most_common(WORST_ENDPOINTS)),
        )
