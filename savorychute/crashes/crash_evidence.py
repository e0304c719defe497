"""Evidence on which requests crash the endpoints of one service."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.crashes.lost_request import LostRequest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

# Crashes this close together are one episode: several endpoints may lose power at once.
EPISODE_MS = 100
# A trait without a success for this long counts as new.
NOVELTY_MS = 30_000
# Until then an instance that has just started may not know which traits are popular.
HISTORY_MS = 10_000
HISTORY_SUCCESSES = 20
CRASH_LIFETIME_MS = 3_600_000
MAX_CRASHES = 256
MAX_LOST_PER_CRASH = 64
MAX_LOST_TRAITS = 8_192
MAX_SUCCESSES = 4_096


class CrashEvidence:
    """Crashes by the traits of the requests lost in them, and successes by trait.

    A crash accuses all traits of all requests that were lost with the endpoint.  A later
    success of a request clears all its traits, because a trait that crashes endpoints
    crashes each of them.

    :param now_ms: the current time.
    """

    def __init__(self, now_ms: int) -> None:
        self.observe_since(now_ms)
        self.last_success_ms: int | None = None
        self._success_count = 0
        self._lost: OrderedDict[str, dict[int, frozenset[int]]] = OrderedDict()
        self._trait_count = 0
        # By trait, the runs whose crashes accuse it, and the times of the crashes.
        self._accusations: dict[int, dict[str, int]] = {}
        # The traits that several crashes accuse, in order.
        self._repeated: dict[int, None] = {}
        self._successes: OrderedDict[int, int] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._lost

    def observe_since(self, since_ms: int) -> None:
        """Set since when successes have been observed.

        :param since_ms: the time.
        """
        self._history_from_ms = since_ms + HISTORY_MS

    # -- recording

    def record_loss(self, lost: LostRequest, at_ms: int) -> bool:
        """Record a lost request; return whether it was not known.

        :param lost: the request.
        :param at_ms: when it was lost.
        """
        requests = self._lost.setdefault(lost.run, {})
        if lost.request in requests or len(requests) >= MAX_LOST_PER_CRASH:
            return False
        requests[lost.request] = frozenset(lost.traits)
        self._trait_count += len(requests[lost.request])
        for trait in lost.traits:
            if self._successes.get(trait, at_ms - 1) < at_ms:
                runs = self._accusations.setdefault(trait, {})
                runs.setdefault(lost.run, at_ms)
                if len(runs) > 1:
                    self._repeated[trait] = None
        while len(self._lost) > MAX_CRASHES or self._trait_count > MAX_LOST_TRAITS:
            self._forget_run(next(iter(self._lost)))
        return True

    def record_successes(self, traits: Iterable[int], at_ms: int) -> list[int]:
        """Record traits of a successful request; return those that it clears.

        :param traits: the traits.
        :param at_ms: the time of the success.
        """
        self.last_success_ms = max(at_ms, self.last_success_ms or at_ms)
        self._success_count += 1
        cleared = []
        for trait in traits:
            if self._successes.get(trait, at_ms) <= at_ms:
                self._successes[trait] = at_ms
                self._successes.move_to_end(trait)
            if self._clear(trait, at_ms):
                cleared.append(trait)
        while len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        return cleared

    def clear(self, traits: Iterable[int], at_ms: int) -> None:
        """Clear traits of earlier crashes without a success.

        :param traits: the traits.
        :param at_ms: the time up to which crashes no longer count against them.
        """
        for trait in traits:
            self._clear(trait, at_ms)

    def forget_run(self, run: str) -> None:
        """Withdraw a crash, because the run turned out to be alive.

        :param run: the run.
        """
        if run in self._lost:
            self._forget_run(run)

    def expire(self, now_ms: int) -> None:
        """Forget crashes after their lifetime.

        :param now_ms: the current time.
        """
        before_ms = now_ms - CRASH_LIFETIME_MS
        expired = {
            run
            for runs in self._accusations.values()
            for run, at_ms in runs.items()
            if at_ms < before_ms
        }
        accusing = {run for runs in self._accusations.values() for run in runs}
        for run in expired | (self._lost.keys() - accusing):
            self._forget_run(run)

    def _clear(self, trait: int, at_ms: int) -> bool:
        runs = self._accusations.get(trait)
        if runs is None:
            return False
        left = {run: crash_ms for run, crash_ms in runs.items() if crash_ms > at_ms}
        self._set_accusations(trait, left)
        return len(left) < len(runs)

    def _set_accusations(self, trait: int, runs: dict[str, int]) -> None:
        if runs:
            self._accusations[trait] = runs
        else:
            self._accusations.pop(trait, None)
        if len(runs) < 2:
            self._repeated.pop(trait, None)

    def _forget_run(self, run: str) -> None:
        requests = self._lost.pop(run)
        self._trait_count -= sum(map(len, requests.values()))
        for traits in requests.values():
            for trait in traits:
                runs = self._accusations.get(trait)
                if runs is not None and runs.pop(run, None) is not None:
                    self._set_accusations(trait, runs)

    # -- queries

    def is_accused(self, trait: int) -> bool:
        """Return whether a crash accuses a trait that was not cleared since.

        :param trait: the trait.
        """
        return trait in self._accusations

    def accused_traits(self) -> Collection[int]:
        """Return the traits that were not cleared."""
        return self._accusations.keys()

    def repeated_traits(self) -> Collection[int]:
        """Return the traits that several crashes accuse."""
        return self._repeated.keys()

    def crash_times(self, trait: int) -> Mapping[str, int]:
        """Return the runs whose crashes accuse a trait, and the times of the crashes.

        :param trait: the trait.
        """
        return self._accusations.get(trait, {})

    def weigh_crashes(self, trait: int) -> int:
        """Return how many crashes count against a trait since its last success.

        :param trait: the trait.
        """
        return weigh_crashes(self.crash_times(trait).values())

    def success_ms(self, trait: int) -> int | None:
        """Return when a request with a trait last succeeded; None if unknown.

        :param trait: the trait.
        """
        return self._successes.get(trait)

    def has_history(self, now_ms: int) -> bool:
        """Return whether traits without a known success are known to have none.

        :param now_ms: the current time.
        """
        is_old = now_ms >= self._history_from_ms
        return is_old or self._success_count >= HISTORY_SUCCESSES

    def is_novel(self, trait: int, now_ms: int) -> bool:
        """Return whether no request with a trait has succeeded recently.

        :param trait: the trait.
        :param now_ms: the current time.
        """
        success_ms = self._successes.get(trait)
        return success_ms is None or now_ms - success_ms > NOVELTY_MS

    def newest_crashes(self, limit: int) -> Iterator[tuple[list[LostRequest], int]]:
        """Yield the requests that the newest crashes accuse, with their times.

        :param limit: the maximum number of crashes.
        """
        for run in list(self._lost)[-limit:]:
            times_ms = [
                self._accusations[trait][run]
                for traits in self._lost[run].values()
                for trait in traits
                if run in self._accusations.get(trait, ())
            ]
            if times_ms:
                losses = [
                    LostRequest(run, request, tuple(traits - {request}))
                    for request, traits in self._lost[run].items()
                ]
                yield losses, min(times_ms)

    def lost_requests(self, run: str) -> Mapping[int, frozenset[int]]:
        """Return the requests lost with a run, and their traits.

        :param run: the run.
        """
        return self._lost.get(run, {})


def count_episodes(times_ms: Iterable[int]) -> int:
    """Return the number of groups of crashes that are apart from each other.

    :param times_ms: the times of the crashes.
    """
    episodes = 0
    last_ms: int | None = None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms > EPISODE_MS:
            episodes += 1
            last_ms = at_ms
    return episodes


def weigh_crashes(times_ms: Collection[int]) -> int:
    """Return how many crashes count against a trait that has not succeeded lately.

    Several endpoints that lose power at once count as one; if they crash again one after
    the other, they did not lose power.

    :param times_ms: the times of the crashes.
    """
    return max(0, min(len(times_ms), 2 * count_episodes(times_ms) - 1))
