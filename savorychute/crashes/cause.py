"""Explains crashes by the smallest set of traits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.crashes.crash_evidence import count_episodes, weigh_crashes

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping, Set

    from savorychute.crashes.crash_evidence import CrashEvidence

# Two crashes may coincide with a trait by chance.
MIN_CRASHES = 3
# Popular traits are in many crashes that they did not cause.
MIN_CRASHES_UNCERTAIN = 5
# A trait with so many crashes may explain those of a trait of more requests.
MIN_CRASHES_RIVAL = 2
# In addition, for traits that explain the same crashes as others do.
EXTRA_CRASHES = 2
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
    """A trait with its crashes, and the requests that were lost in them."""

    trait: int
    novel: bool
    crashes: int
    runs: frozenset[str]
    requests: frozenset[int]

    @property
    def needed_crashes(self) -> int:
        """The crashes from which it may be convicted."""
        return MIN_CRASHES if self.novel else MIN_CRASHES_UNCERTAIN


def find_causes(
    evidence: CrashEvidence,
    now_ms: int,
    is_convicted: Callable[[frozenset[int]], bool] = lambda _: False,
) -> list[Cause]:
    """Return the causes that explain most crashes, until too few are left.

    A trait that shares all its crashes with traits of fewer requests is not a cause: a
    part that all prompts begin with is in each crash.

    :param evidence: the evidence.
    :param now_ms: the current time.
    :param is_convicted: returns whether a request with some traits is refused already.
    """
    causes: list[Cause] = []
    explained = _find_explained(evidence, is_convicted)
    while True:
        candidates = _list_candidates(evidence, explained, is_convicted, now_ms)
        best = _select_best(candidates, evidence)
        if not best:
            return causes
        for candidate, common in best:
            explained |= candidate.runs
            cause = _make_cause(evidence, candidate, common)
            if all(cause.traits != known.traits for known in causes):
                causes.append(cause)


def _find_explained(
    evidence: CrashEvidence, is_convicted: Callable[[frozenset[int]], bool]
) -> set[str]:
    """Return the runs whose crashes a trait explains that is convicted by itself."""
    return {
        run
        for trait in evidence.repeated_traits()
        if is_convicted(frozenset((trait,)))
        for run in evidence.crash_times(trait)
    }


def _list_candidates(
    evidence: CrashEvidence,
    explained: Set[str],
    is_convicted: Callable[[frozenset[int]], bool],
    now_ms: int,
) -> list[_Candidate]:
    """Return the traits with more than one crash."""
    has_history = evidence.has_history(now_ms)
    candidates = []
    for trait in evidence.repeated_traits():
        left_ms = {
            run: at_ms
            for run, at_ms in evidence.crash_times(trait).items()
            if run not in explained
        }
        is_request = any(trait in evidence.lost_requests(run) for run in left_ms)
        if is_request:
            left_ms = _drop_blamed(evidence, left_ms, is_convicted)
        novel = is_request or (has_history and evidence.is_novel(trait, now_ms))
        crashes = _count_crashes(left_ms.values(), is_request, novel)
        if crashes < MIN_CRASHES_RIVAL:
            continue
        requests = frozenset(
            request
            for run in left_ms
            for request, traits in evidence.lost_requests(run).items()
            if trait in traits
        )
        runs = frozenset(left_ms)
        candidates.append(_Candidate(trait, novel, crashes, runs, requests))
    return candidates


def _drop_blamed(
    evidence: CrashEvidence,
    times_ms: dict[str, int],
    is_convicted: Callable[[frozenset[int]], bool],
) -> dict[str, int]:
    """Return the crashes that count against a single request.

    Those that are blamed on other requests do not.
    """
    return {
        run: at_ms
        for run, at_ms in times_ms.items()
        if not any(map(is_convicted, evidence.lost_requests(run).values()))
    }


def _count_crashes(times_ms: Collection[int], is_request: bool, novel: bool) -> int:
    if is_request:
        return len(times_ms)
    return weigh_crashes(times_ms) if novel else count_episodes(times_ms)


def _select_best(
    candidates: list[_Candidate], evidence: CrashEvidence
) -> list[tuple[_Candidate, frozenset[int]]]:
    """Return the candidates that explain most crashes, and what else they always have.

    Those that explain the same crashes as others need more of them, because one more
    crash usually decides between them.
    """
    eligible = [each for each in candidates if each.crashes >= each.needed_crashes]
    eligible = [each for each in eligible if not _is_dominated(each, candidates)]
    if not eligible:
        return []
    most = max(_make_preference(each) for each in eligible)
    best = [each for each in eligible if _make_preference(each) == most]
    commons = {each: _find_common(evidence, each) for each in best}
    largest = [each for each in best if not _is_implied(each, best, commons)]
    return [
        (each, commons[each])
        for each in largest
        if each.crashes >= each.needed_crashes + EXTRA_CRASHES
        or not _has_rival(each, largest, commons)
    ]


def _is_implied(
    candidate: _Candidate,
    others: Iterable[_Candidate],
    commons: Mapping[_Candidate, frozenset[int]],
) -> bool:
    """Return whether another candidate explains the same crashes by more traits."""
    return any(
        other.runs == candidate.runs and commons[candidate] < commons[other]
        for other in others
    )


def _has_rival(
    candidate: _Candidate,
    others: Iterable[_Candidate],
    commons: Mapping[_Candidate, frozenset[int]],
) -> bool:
    return any(
        other.runs & candidate.runs and commons[other] != commons[candidate]
        for other in others
    )


def _make_preference(candidate: _Candidate) -> tuple[bool, bool, int]:
    """Return a key that is larger for better explanations.

    A part is preferred to the request itself, whose retries may all have met crashes.
    """
    is_shared = len(candidate.requests) > 1
    return is_shared, candidate.novel, candidate.crashes


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
    return Cause(common, candidate.crashes, candidate.novel and others_succeed)
