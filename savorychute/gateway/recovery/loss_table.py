"""Attempts that were lost, until it is known whether their endpoints crashed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.crashes.request_traits import RequestTraits
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# An interrupted attempt counts as lost in a crash if its endpoint is found gone within
# the time in which the platform detects that: an entry expires after three missed
# heartbeats.
CONFIRMATION_WINDOW_MS = 6_000
MAX_UNCONFIRMED_RUNS = 256
MAX_LOSSES_PER_RUN = 128
MAX_ENDED_RUNS = 256


class Loss(NamedTuple):
    """An attempt that was lost: the request's service and traits, and when."""

    service: str
    traits: RequestTraits
    at_ms: int


class LossTable:
    """Pairs lost attempts with the ends of their endpoints.

    A connection reset does not prove a crash, and popular requests encounter many resets
    on a faulty network; a loss counts only once the endpoint is found gone.
    """

    def __init__(self) -> None:
        self._unconfirmed: OrderedDict[EndpointRun, list[Loss]] = OrderedDict()
        self._ended_ms: OrderedDict[EndpointRun, int] = OrderedDict()

    def record(self, run: EndpointRun, loss: Loss) -> bool:
        """Record a lost attempt; return whether its endpoint is known to have crashed.

        :param run: the run of the endpoint.
        :param loss: the attempt.
        """
        ended_ms = self._ended_ms.get(run)
        if ended_ms is not None and loss.at_ms - ended_ms <= CONFIRMATION_WINDOW_MS:
            return True
        losses = self._unconfirmed.setdefault(run, [])
        losses.append(loss)
        del losses[:-MAX_LOSSES_PER_RUN]
        if len(self._unconfirmed) > MAX_UNCONFIRMED_RUNS:
            self._unconfirmed.popitem(last=False)
        return False

    def confirm(self, run: EndpointRun, now_ms: int) -> list[Loss]:
        """Record that an endpoint is gone; return the attempts lost with it.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        if run not in self._ended_ms:
            self._ended_ms[run] = now_ms
            if len(self._ended_ms) > MAX_ENDED_RUNS:
                self._ended_ms.popitem(last=False)
        losses = self._unconfirmed.pop(run, [])
        return [
            loss for loss in losses if now_ms - loss.at_ms <= CONFIRMATION_WINDOW_MS
        ]

    def withdraw(self, run: EndpointRun) -> bool:
        """Record that a run is alive; return whether it was taken for gone.

        :param run: the run of the endpoint.
        """
        self._unconfirmed.pop(run, None)
        return self._ended_ms.pop(run, None) is not None
