"""The further attempts that several instances sent together, from their logs."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.explain.log_line import LogLine

STARTED = 'instance-started'
DECIDED = 'repeat-decided'
FINISHED = 'request-finished'


class RunSpending(NamedTuple):
    """What one run of an instance sent within a window.

    ``run`` counts the starts of the instance that the logs hold, from 0 for one that
    began before them; ``instances`` are the numbers that it divided the slack by.
    """

    instance: str
    run: int
    granted: int
    instances: tuple[int, ...]


class RepeatWindow(NamedTuple):
    """The window of a service that has most further attempts.

    ``begin_s`` counts from the first line of the logs.
    """

    service: str
    begin_s: float
    granted: int
    withheld: int
    requests: int
    runs: tuple[RunSpending, ...]


class _Decision(NamedTuple):
    at_s: float
    instance: str
    run: int
    granted: bool
    instances: int


def find_worst_windows(
    lines: Sequence[LogLine], window_s: float
) -> tuple[RepeatWindow, ...]:
    """Return the worst window of each service, those with most first.

    :param lines: of all instances, by time.
    :param window_s: the span of a window.
    """
    decisions = _collect_decisions(lines)
    requests = _collect_requests(lines)
    windows = [
        _find_worst(service, found, requests[service], window_s)
        for service, found in decisions.items()
    ]
    return tuple(sorted(windows, key=lambda window: -window.granted))


def _collect_decisions(lines: Sequence[LogLine]) -> dict[str, list[_Decision]]:
    starts: Counter[str] = Counter()
    decisions: dict[str, list[_Decision]] = defaultdict(list)
    for line in lines:
        if line.event == STARTED:
            starts[line.instance] += 1
        elif line.event == DECIDED:
            decision = _Decision(
                line.timestamp_s - lines[0].timestamp_s,
                line.instance,
                starts[line.instance],
                line.fields.get('state') == 'granted',
                int(line.fields.get('instances', 0)),
            )
            decisions[str(line.fields.get('service', ''))].append(decision)
    return decisions


def _collect_requests(lines: Sequence[LogLine]) -> dict[str, list[float]]:
    """Return when the requests of each service came, sorted."""
    times: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == FINISHED:
            lasted_s = float(line.fields.get('duration_ms', 0)) / MS_PER_S
            came_s = line.timestamp_s - lasted_s - lines[0].timestamp_s
            times[str(line.fields.get('service', ''))].append(came_s)
    for service in times:
        times[service].sort()
    return times


def _find_worst(
    service: str,
    decisions: Sequence[_Decision],
    requests: Sequence[float],
    window_s: float,
) -> RepeatWindow:
    granted = [each.at_s for each in decisions if each.granted]
    begin_s = max(
        granted or [decisions[0].at_s],
        key=lambda at_s: _count_between(granted, at_s, at_s + window_s),
    )
    end_s = begin_s + window_s
    within = [each for each in decisions if begin_s <= each.at_s < end_s]
    return RepeatWindow(
        service,
        begin_s,
        sum(each.granted for each in within),
        sum(not each.granted for each in within),
        _count_between(requests, begin_s, end_s),
        _sum_by_run(within),
    )


def _count_between(times: Sequence[float], begin_s: float, end_s: float) -> int:
    return bisect_left(times, end_s) - bisect_left(times, begin_s)


def _sum_by_run(decisions: Sequence[_Decision]) -> tuple[RunSpending, ...]:
    granted: Counter[tuple[str, int]] = Counter()
    instances: dict[tuple[str, int], set[int]] = defaultdict(set)
    for each in decisions:
        granted[each.instance, each.run] += each.granted
        instances[each.instance, each.run].add(each.instances)
    return tuple(
        RunSpending(*key, granted[key], tuple(sorted(instances[key])))
        for key in sorted(granted)
    )
