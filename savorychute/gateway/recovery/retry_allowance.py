"""How many further attempts this instance may send to a service."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# The shares of all instances are counted by each for itself, from a member view that
# may be a few seconds old; a part is left unused for that.
SAFE_SHARE = 0.8


class RetryBounds(NamedTuple):
    """The bound that holds for all instances together.

    In each ``window_ms`` a service may get ``ratio`` times its requests plus
    ``slack`` further attempts.
    """

    ratio: float
    window_ms: int
    slack: float


class RepeatDecision(NamedTuple):
    """Whether a further attempt may be sent, and out of what.

    ``spent`` and ``requests`` are those of this instance within the window, ``bound`` is
    its part of what may be spent there, and ``instances`` how many share the slack (0
    before that is known).
    """

    granted: bool
    spent: int
    requests: int
    bound: float
    instances: int


class _Window:
    """Times of requests and of further attempts within the window."""

    __slots__ = ('repeats', 'requests')

    def __init__(self) -> None:
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()

    def expire(self, before_ms: int) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= before_ms:
                times.popleft()


class RetryAllowance:
    """This instance's part of the bound: its own requests, and a share of the slack.

    When most endpoints of a service are gone nearly every attempt fails.  If each were
    repeated, the rest would carry a multiple of its usual load and fail too.  The
    sum over all instances stays below the bound without any exchange between them,
    as long as each counts at least as many instances as there are.  One that has just
    started knows of no other; it has no part of the slack until it does, or all that
    are started at once would take the whole of it.

    :param bounds: what all instances together may do.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self._windows: dict[str, _Window] = {}
        # How many instances share the slack; None before that is known.
        self.instances: int | None = None

    def request(self, service: str, now_ms: int) -> None:
        """Count a first attempt.

        :param service: where it goes.
        :param now_ms: the time.
        """
        self._window(service, now_ms).requests.append(now_ms)

    def try_spend(self, service: str, now_ms: int) -> RepeatDecision:
        """Take one further attempt, if there is one left.

        :param service: where it goes.
        :param now_ms: the time.
        """
        window = self._window(service, now_ms)
        slack = self.bounds.slack / self.instances if self.instances else 0.0
        bound = SAFE_SHARE * (self.bounds.ratio * len(window.requests) + slack)
        granted = len(window.repeats) + 1 <= bound
        if granted:
            window.repeats.append(now_ms)
        return RepeatDecision(
            granted,
            len(window.repeats),
            len(window.requests),
            bound,
            self.instances or 0,
        )

    def _window(self, service: str, now_ms: int) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.expire(now_ms - self.bounds.window_ms)
        return window
