"""How many further attempts this instance may send to a service."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from savorychute.gateway.recovery.repeat_cap import RepeatCap

# A repeat reaches its endpoint a little after it was granted.
REQUEST_SHARE = 0.95
# Each instance divides the slack by those that it knows; an instance that is cut off may
# not know those that were added since.
SLACK_SHARE = 0.8


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
    its part of what may be spent there, ``instances`` how many share the slack (0 before
    that is known), ``inherited`` what earlier runs may have spent (None if nobody knows),
    and ``cap`` what the instance's entry allows of all of it (None for no cap).
    """

    granted: bool
    spent: int
    requests: int
    bound: float
    instances: int
    inherited: float | None
    cap: float | None


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
    as long as each counts at least as many instances as have spent within the window.

    What a run spends is in its memory only, and counts for a window also when the run is
    over.  So the instance's entry in the platform's store states how much that can be, and the
    next run of the instance counts it as spent for a window from its start.  Where the entry
    states nothing, it waits for a window.

    :param bounds: what all instances together may do.
    :param now_ms: the time, at the start of the run.
    """

    def __init__(self, bounds: RetryBounds, now_ms: int) -> None:
        self.bounds = bounds
        self._windows: dict[str, _Window] = {}
        # How many instances share the slack; None before that is known.
        self.instances: int | None = None
        self.cap = RepeatCap(now_ms)
        self._started_ms = now_ms
        self._inherited: float | None = None

    def inherit(self, repeats: float | None) -> float | None:
        """Take over what earlier runs may have sent to any service.

        :param repeats: the most of it; None if nobody knows.
        :returns: what the entry states of this run; None for no cap.
        """
        self._inherited = repeats
        return self.cap.begin(repeats)

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
        part = self._part(len(window.requests))
        inherited = self._inherited_at(now_ms)
        granted = False
        if inherited is not None:
            repeats = len(window.repeats) + inherited + 1
            self.cap.need(repeats, part, now_ms)
            granted = repeats <= min(part, self.cap.value)
        if granted:
            window.repeats.append(now_ms)
        return RepeatDecision(
            granted,
            len(window.repeats),
            len(window.requests),
            part,
            self.instances or 0,
            inherited,
            None if math.isinf(self.cap.value) else self.cap.value,
        )

    def cap_change(self, now_ms: int) -> float | None:
        """Return what the entry should state from now on; None if nothing changes.

        :param now_ms: the time.
        """
        return self.cap.find_change(self.bounds.window_ms, now_ms)

    def close(self, now_ms: int) -> float | None:
        """Let the rest of the run spend one more at most; return the most it can have spent.

        :param now_ms: the time.
        :returns: None if nobody knows.
        """
        inherited = self._inherited_at(now_ms)
        if inherited is None:
            return None
        windows = [self._window(service, now_ms) for service in self._windows]
        spent = max((len(window.repeats) for window in windows), default=0)
        self.cap.close(spent + inherited + 1)
        return self.cap.value

    def _part(self, requests: int) -> float:
        of_requests = REQUEST_SHARE * self.bounds.ratio * requests
        if not self.instances:
            return of_requests
        return of_requests + SLACK_SHARE * self.bounds.slack / self.instances

    def _inherited_at(self, now_ms: int) -> float | None:
        """Return what counts of earlier runs; None if nobody knows."""
        if now_ms - self._started_ms >= self.bounds.window_ms:
            return 0.0
        return self._inherited

    def _window(self, service: str, now_ms: int) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.expire(now_ms - self.bounds.window_ms)
        return window
