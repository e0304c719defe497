"""Explains crashes by the smallest set of traits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.crashes.crash_evidence import count_episodes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from savorychute.crashes.crash_evidence import CrashEvidence

# Two crashes may coincide with a trait by chance.
MIN_EPISODES = 3
# Popular traits are in many crashes that they did not cause.
MIN_EPISODES_UNCERTAIN = 5
# Until then an instance that has just started may not know which traits are popular.
HISTORY_MS = 10_000
# A service without a success since this long before the first crash is in trouble.
RECENT_MS = 5_000


class Cause(NamedTuple):
    """The traits that together explain some crashes.

    ``certain`` is false if the crashes may have another cause: other requests with the
    traits have succeeded shortly before, or no request of the service succeeded at all.
    """

    traits: frozenset[int]
    crashes: int
    certain: bool


class _Candidate(NamedTuple):
    """A trait with its crashes; the tries of one request follow each other anyway, so
    each run counts as an episode for it.
    """

    trait: int
    novel: bool
    episodes: int
    runs: frozenset[str]
    requests: frozenset[int]


def find_causes(evidence: CrashEvidence, now_ms: int) -> list[Cause]:
    """Return the causes that explain most crashes, until too few are left.

    A trait that shares all its crashes with traits of fewer requests is not a cause: a
    part that all prompts begin with is in each crash.

    :param evidence: the evidence.
    :param now_ms: the current time.
    """
    causes: list[Cause] = []
    explained: set[str] = set()
    while True:
        candidates = _list_candidates(evidence, explained, now_ms)
        best = _select_best(candidates)
        if not best:
            return causes
        commons = {each: _find_common(evidence, each) for each in best}
        size = max(len(common) for common in commons.values())
        for candidate, common in commons.items():
            if len(common) == size:
                explained |= candidate.runs
                cause = _make_cause(evidence, candidate, common)
                if all(cause.traits != known.traits for known in causes):
                    causes.append(cause)


def _list_candidates(
    evidence: CrashEvidence, explained: set[str], now_ms: int
) -> list[_Candidate]:
    has_history = now_ms - evidence.started_ms >= HISTORY_MS
    candidates = []
    for trait in evidence.accused_traits():
        times_ms = evidence.crash_times(trait)
        if len(times_ms) < MIN_EPISODES:
            continue
        left_ms = {run: at for run, at in times_ms.items() if run not in explained}
        requests = frozenset(
            request
            for run in left_ms
            for request, traits in evidence.lost_requests(run).items()
            if trait in traits
        )
        is_request = trait in requests
        episodes = len(left_ms) if is_request else count_episodes(left_ms.values())
        if episodes < MIN_EPISODES:
            continue
        novel = is_request or (has_history and evidence.is_novel(trait, now_ms))
        runs = frozenset(left_ms)
        candidates.append(_Candidate(trait, novel, episodes, runs, requests))
    return candidates


def _select_best(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the candidates that explain most crashes, all of them if they are equal."""
    eligible = [
        each
        for each in candidates
        if each.novel or each.episodes >= MIN_EPISODES_UNCERTAIN
    ]
    eligible = [each for each in eligible if not _is_dominated(each, eligible)]
    if not eligible:
        return []
    best = max(_make_preference(each) for each in eligible)
    return [each for each in eligible if _make_preference(each) == best]


def _make_preference(candidate: _Candidate) -> tuple[bool, int, bool]:
    """Return a key that is larger for better explanations.

    A part is preferred to the request itself, whose retries may all have met crashes.
    """
    is_shared = len(candidate.requests) > 1
    return candidate.novel, candidate.episodes, is_shared


def _is_dominated(candidate: _Candidate, others: Iterable[_Candidate]) -> bool:
    """Return whether traits of fewer requests explain the same crashes.

    A single request does not count, because its retries may all have met crashes.
    """
    covered: set[str] = set()
    for other in others:
        if len(other.requests) > 1 and other.requests < candidate.requests:
            covered |= other.runs
    return candidate.runs <= covered


def _find_common(evidence: CrashEvidence, candidate: _Candidate) -> frozenset[int]:
    """Return the accused traits that all requests of a candidate share."""
    common: frozenset[int] | None = None
    for run in candidate.runs:
        for request, traits in evidence.lost_requests(run).items():
            if request not in candidate.requests or candidate.trait not in traits:
                continue
            accused = frozenset(
                trait for trait in traits if run in evidence.crash_times(trait)
            )
            common = accused if common is None else common & accused
    return common if common is not None else frozenset({candidate.trait})


def _make_cause(
    evidence: CrashEvidence,
    candidate: _Candidate,
    common: frozenset[int],
) -> Cause:
    times_ms: Mapping[str, int] = evidence.crash_times(candidate.trait)
    first_ms = min(times_ms[run] for run in candidate.runs)
    last_success_ms = evidence.last_success_ms
    others_succeed = (
        last_success_ms is not None and last_success_ms > first_ms - RECENT_MS
    )
    return Cause(common, candidate.episodes, candidate.novel and others_succeed)
