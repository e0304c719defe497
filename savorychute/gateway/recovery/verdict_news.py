"""The message that tells other instances of verdicts."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.crashes.verdict import Verdict, VerdictKey
from savorychute.wire.peer_messages import peer_message


class VerdictState(NamedTuple):
    """A verdict; ``due_in_ms`` is the time until the next trial.

    ``is_stored`` is true if the store holds this state.
    """

    service: str
    traits: tuple[int, ...]
    crashes: int
    certain: bool
    due_in_ms: int
    sequence: int
    trials: int
    lifted: bool
    is_stored: bool

    def to_verdict(self, now_ms: int) -> Verdict | None:
        """Return the verdict by the clock of this instance; None for no traits.

        :param now_ms: the current time.
        """
        if not self.traits:
            return None
        return Verdict(
            VerdictKey(self.service, tuple(sorted(self.traits))),
            self.crashes,
            self.certain,
            now_ms + self.due_in_ms,
            self.sequence,
            self.trials,
            self.lifted,
        )


def make_state(verdict: Verdict, now_ms: int, *, is_stored: bool) -> VerdictState:
    """Return a verdict as other instances are told of it.

    :param verdict: the verdict.
    :param now_ms: the current time.
    :param is_stored: whether the store holds it.
    """
    return VerdictState(
        verdict.key.service,
        verdict.key.traits,
        verdict.crashes,
        verdict.certain,
        verdict.due_ms - now_ms,
        verdict.sequence,
        verdict.trials,
        verdict.lifted,
        is_stored,
    )


@peer_message(101)
class VerdictNews(NamedTuple):
    """Verdicts that are new, have changed, or were asked for.

    ``is_complete`` ends a response that has named all verdicts; ``observed_ms`` is then
    for how long the sender has observed which requests succeed.
    """

    verdicts: tuple[VerdictState, ...]
    is_complete: bool = False
    observed_ms: int = 0
