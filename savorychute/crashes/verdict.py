"""A verdict on requests that crash endpoints."""

from __future__ import annotations

from typing import NamedTuple

HOUR_MS = 3_600_000
# Delay of the first trial, and the factor by which it grows.  A certain verdict is
# tried rarely, because each trial may cost an endpoint.
CERTAIN_DELAY_MS = HOUR_MS
UNCERTAIN_DELAY_MS = 10_000
DELAY_FACTOR = 4
MAX_DELAY_MS = 24 * HOUR_MS


class VerdictKey(NamedTuple):
    """The service and the traits that a verdict concerns, the traits in order."""

    service: str
    traits: tuple[int, ...]


class Verdict(NamedTuple):
    """Requests of a service that have all of some traits are refused.

    ``crashes`` is the number of crashes behind the verdict.  ``sequence`` grows with
    each change.  ``trials`` is how many requests have been let through since; the next
    one may be at ``due_ms``, by the clock of this instance.  ``lifted`` is true for a
    verdict that no longer holds.
    """

    key: VerdictKey
    crashes: int
    certain: bool
    due_ms: int
    sequence: int = 1
    trials: int = 0
    lifted: bool = False

    def try_again(self, now_ms: int) -> Verdict:
        """Return the verdict after a trial has begun.

        :param now_ms: the current time.
        """
        trials = self.trials + 1
        return self._replace(
            trials=trials,
            due_ms=now_ms + _find_delay_ms(self.certain, trials),
            sequence=self.sequence + 1,
        )

    def lift(self) -> Verdict:
        """Return the verdict after it was lifted."""
        return self._replace(lifted=True, sequence=self.sequence + 1)

    def renew(self, crashes: int, certain: bool, now_ms: int) -> Verdict:
        """Return a verdict that was lifted and holds again.

        :param crashes: the crashes behind it.
        :param certain: whether they can have no other cause.
        :param now_ms: the current time.
        """
        return self._replace(
            crashes=crashes,
            certain=certain,
            due_ms=now_ms + _find_delay_ms(certain, self.trials),
            lifted=False,
            sequence=self.sequence + 1,
        )


def make_verdict(key: VerdictKey, crashes: int, certain: bool, now_ms: int) -> Verdict:
    """Return a new verdict.

    :param key: the service and the traits.
    :param crashes: the crashes behind it.
    :param certain: whether they can have no other cause.
    :param now_ms: the current time.
    """
    return Verdict(key, crashes, certain, now_ms + _find_delay_ms(certain, 0))


def _find_delay_ms(certain: bool, trials: int) -> int:
    first_ms = CERTAIN_DELAY_MS if certain else UNCERTAIN_DELAY_MS
    return int(min(MAX_DELAY_MS, first_ms * DELAY_FACTOR**trials))
