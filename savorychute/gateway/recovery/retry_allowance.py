"""The number of retries that this instance may send to each service."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from savorychute.gateway.recovery.retry_cap import RetryCap

# A retry reaches its endpoint shortly after it was granted.
REQUEST_SHARE = 0.95
# Each instance divides the slack by the instances that it knows; an instance that is cut
# off may not know those that have been added since.
SLACK_SHARE = 0.8


class RetryBounds(NamedTuple):
    """The bound on the retries of all instances together.

    In each ``window_ms`` a service may receive ``ratio`` times its requests plus
    ``slack`` retries.
    """

    ratio: float
    window_ms: int
    slack: float


class RetryDecision(NamedTuple):
    """Whether a retry may be sent, and the figures behind the decision.

    ``spent`` and ``requests`` are the retries and requests of this instance within the
    window, ``bound`` is its share of the bound, ``instances`` is how many instances share
    the slack (0 while unknown), ``inherited`` is what earlier runs may have spent (None if
    unknown), and ``cap`` is the retry cap in the instance's entry (None for no cap).
    """

    granted: bool
    spent: int
    requests: int
    bound: float
    instances: int
    inherited: float | None
    cap: float | None


class _Window:
    """Times of requests and retries within the window."""

    __slots__ = ('requests', 'retries')

    def __init__(self) -> None:
        self.requests: deque[int] = deque()
        self.retries: deque[int] = deque()

    def expire(self, before_ms: int) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= before_ms:
                times.popleft()


class RetryAllowance:
    """This instance's share of the retry bound: by its own requests, and of the slack.

    When most endpoints of a service are gone, nearly every attempt fails.  If each
    attempt were retried, the remaining endpoints would receive a multiple of their usual
    load and fail too.  The sum over all instances stays below the bound without any
    communication between them, as long as each counts at least as many instances as have
    sent retries within the window.

    The retries of a run are recorded only in its memory, but count for a window even after
    the run has ended.  The instance's entry in the platform's store therefore states their
    maximum, and the next run counts it as spent for one window from its start.  If the
    entry states nothing, the next run sends no retry for one window.

    :param bounds: the bound for all instances together.
    :param now_ms: the time at the start of the run.
    """

    def __init__(self, bounds: RetryBounds, now_ms: int) -> None:
        self.bounds = bounds
        self._windows: dict[str, _Window] = {}
        # The number of instances that share the slack; None while unknown.
        self.instances: int | None = None
        self.cap = RetryCap(now_ms)
        self._started_ms = now_ms
        self._inherited: float | None = None

    def inherit(self, retries: float | None) -> float | None:
        """Count the retries that earlier runs may have sent to any service.

        :param retries: their maximum; None if unknown.
        :returns: the cap that the entry of this run states; None for no cap.
        """
        self._inherited = retries
        return self.cap.start(retries)

    def count_request(self, service: str, now_ms: int) -> None:
        """Count the first attempt of a request.

        :param service: the service that receives it.
        :param now_ms: the current time.
        """
        self._window(service, now_ms).requests.append(now_ms)

    def try_spend(self, service: str, now_ms: int) -> RetryDecision:
        """Spend one retry if one is left.

        :param service: the service that receives it.
        :param now_ms: the current time.
        """
        window = self._window(service, now_ms)
        share = self._share(len(window.requests))
        inherited = self._inherited_at(now_ms)
        granted = False
        if inherited is not None:
            retries = len(window.retries) + inherited + 1
            self.cap.record_need(retries, share, now_ms)
            granted = retries <= min(share, self.cap.value)
        if granted:
            window.retries.append(now_ms)
        return RetryDecision(
            granted,
            len(window.retries),
            len(window.requests),
            share,
            self.instances or 0,
            inherited,
            None if math.isinf(self.cap.value) else self.cap.value,
        )

    def find_cap_change(self, now_ms: int) -> float | None:
        """Return the cap that the entry should state next; None for no change.

        :param now_ms: the current time.
        """
        return self.cap.find_change(self.bounds.window_ms, now_ms)

    def close(self, now_ms: int) -> float | None:
        """Allow the run at most one more retry; return the most it can have spent.

        :param now_ms: the current time.
        :returns: None if unknown.
        """
        inherited = self._inherited_at(now_ms)
        if inherited is None:
            return None
        windows = [self._window(service, now_ms) for service in self._windows]
        spent = max((len(window.retries) for window in windows), default=0)
        self.cap.close(spent + inherited + 1)
        return self.cap.value

    def _share(self, requests: int) -> float:
        of_requests = REQUEST_SHARE * self.bounds.ratio * requests
        if not self.instances:
            return of_requests
        return of_requests + SLACK_SHARE * self.bounds.slack / self.instances

    def _inherited_at(self, now_ms: int) -> float | None:
        """Return the retries of earlier runs that still count; None if unknown."""
        if now_ms - self._started_ms >= self.bounds.window_ms:
            return 0.0
        return self._inherited

    def _window(self, service: str, now_ms: int) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.expire(now_ms - self.bounds.window_ms)
        return window
