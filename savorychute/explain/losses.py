"""A table of lost and late requests by route, cause and time."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.explain.loss_cause import LossCause, find_cause

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from savorychute.explain.log_line import LogLine

FINISHED_EVENT = 'request-finished'
OMITTED_EVENT = 'log-lines-omitted'
# Shown for each cause: the seconds with the most requests.
MAX_SHOWN_SECONDS = 3
# Shown for each cause: the endpoints with the most requests.
MAX_SHOWN_ENDPOINTS = 3


class LossRow(NamedTuple):
    """Requests of one route with one cause.

    ``seconds`` are the seconds with the most of these requests, counted from the first
    request in the logs, each with its number of requests; ``endpoints`` are those with
    the most last attempts of these requests.
    """

    route: str
    rank: int
    cause: LossCause
    requests: int
    share: float
    seconds: tuple[tuple[int, int], ...]
    endpoints: tuple[tuple[str, int], ...]


class LossTable(NamedTuple):
    """All rows, and how many lines the logs report as omitted."""

    rows: tuple[LossRow, ...]
    omitted_lines: int


def count_losses(lines: Sequence[LogLine]) -> LossTable:
    """Return the table of the requests in some logs.

    :param lines: the log lines of any instances, sorted by time.
    """
    finished = [line for line in lines if line.event == FINISHED_EVENT]
    omitted = sum(
        int(line.fields.get('count', 0))
        for line in lines
        if line.event == OMITTED_EVENT
    )
    if not finished:
        return LossTable((), omitted)
    start_s = finished[0].timestamp_s
    by_route: dict[str, list[LogLine]] = defaultdict(list)
    for line in finished:
        by_route[str(line.fields.get('item', ''))].append(line)
    rows = [
        row
        for route, requests in by_route.items()
        for row in _count_route(route, requests, start_s)
    ]
    rows.sort(key=lambda row: (row.rank, row.route, list(LossCause).index(row.cause)))
    return LossTable(tuple(rows), omitted)


def _count_route(
    route: str, requests: Sequence[LogLine], start_s: float
) -> Iterable[LossRow]:
    by_cause: dict[LossCause, list[LogLine]] = defaultdict(list)
    for line in requests:
        by_cause[find_cause(line.fields)].append(line)
    rank = min(int(line.fields.get('rank', 0)) for line in requests)
    for cause, lines in by_cause.items():
        seconds = Counter(int(line.timestamp_s - start_s) for line in lines)
        endpoints = Counter(str(line.fields.get('endpoint', '')) for line in lines)
        yield LossRow(
            route,
            rank,
            cause,
            len(lines),
            len(lines) / len(requests),
            tuple(seconds.most_common(MAX_SHOWN_SECONDS)),
            tuple(endpoints.most_common(MAX_SHOWN_ENDPOINTS)),
        )
