"""Sums of the retries that several instances sent, from their logs."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.explain.log_line import LogLine

STARTED_EVENT = 'instance-started'
DECIDED_EVENT = 'repeat-decided'
FINISHED_EVENT = 'request-finished'


class RunRetries(NamedTuple):
    """The retries that one incarnation of an instance sent within a window.

    ``run`` is the number of starts of the instance in the logs so far, 0 for an
    incarnation that started before them; ``instances`` are the numbers of instances by
    which the incarnation divided ``retry_slack``.
    """

    instance: str
    run: int
    granted: int
    instances: tuple[int, ...]


class RetryWindow(NamedTuple):
    """The window with the most retries of a service.

    ``start_s`` is counted from the first line of the logs.
    """

    service: str
    start_s: float
    granted: int
    withheld: int
    requests: int
    runs: tuple[RunRetries, ...]


class _Decision(NamedTuple):
    at_s: float
    instance: str
    run: int
    granted: bool
    instances: int


def find_worst_windows(
    lines: Sequence[LogLine], window_s: float
) -> tuple[RetryWindow, ...]:
    """Return the worst window of each service, those with the most retries first.

    :param lines: the log lines of all instances, sorted by time.
    :param window_s: the length of a window.
    """
    decisions = _collect_decisions(lines)
    arrival_times = _collect_arrival_times(lines)
    windows = [
        _find_worst(service, service_decisions, arrival_times[service], window_s)
        for service, service_decisions in decisions.items()
    ]
    return tuple(sorted(windows, key=lambda window: -window.granted))


def _collect_decisions(lines: Sequence[LogLine]) -> dict[str, list[_Decision]]:
    starts: Counter[str] = Counter()
    decisions: dict[str, list[_Decision]] = defaultdict(list)
    for line in lines:
        if line.event == STARTED_EVENT:
            starts[line.instance] += 1
        elif line.event == DECIDED_EVENT:
            decision = _Decision(
                line.timestamp_s - lines[0].timestamp_s,
                line.instance,
                starts[line.instance],
                line.fields.get('state') == 'granted',
                int(line.fields.get('instances', 0)),
            )
            decisions[str(line.fields.get('service', ''))].append(decision)
    return decisions


def _collect_arrival_times(lines: Sequence[LogLine]) -> dict[str, list[float]]:
    """Return the sorted arrival times of the requests of each service."""
    times: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == FINISHED_EVENT:
            duration_s = float(line.fields.get('duration_ms', 0)) / MS_PER_S
            arrival_s = line.timestamp_s - duration_s - lines[0].timestamp_s
            times[str(line.fields.get('service', ''))].append(arrival_s)
    for service in times:
        times[service].sort()
    return times


def _find_worst(
    service: str,
    decisions: Sequence[_Decision],
    arrival_times: Sequence[float],
    window_s: float,
) -> RetryWindow:
    granted = [decision.at_s for decision in decisions if decision.granted]
    start_s = max(
        granted or [decisions[0].at_s],
        key=lambda at_s: _count_between(granted, at_s, at_s + window_s),
    )
    end_s = start_s + window_s
    window_decisions = [
        decision for decision in decisions if start_s <= decision.at_s < end_s
    ]
    return RetryWindow(
        service,
        start_s,
        sum(decision.granted for decision in window_decisions),
        sum(not decision.granted for decision in window_decisions),
        _count_between(arrival_times, start_s, end_s),
        _sum_by_run(window_decisions),
    )


def _count_between(times: Sequence[float], start_s: float, end_s: float) -> int:
    return bisect_left(times, end_s) - bisect_left(times, start_s)


def _sum_by_run(decisions: Sequence[_Decision]) -> tuple[RunRetries, ...]:
    granted: Counter[tuple[str, int]] = Counter()
    instances: dict[tuple[str, int], set[int]] = defaultdict(set)
    for decision in decisions:
        granted[decision.instance, decision.run] += decision.granted
        instances[decision.instance, decision.run].add(decision.instances)
    return tuple(
        RunRetries(*key, granted[key], tuple(sorted(instances[key])))
        for key in sorted(granted)
    )
