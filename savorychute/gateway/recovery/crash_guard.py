"""Keeps requests that crash endpoints from them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.crashes.crash_judge import CrashJudge
from savorychute.crashes.lost_request import LostRequest, make_lost_request
from savorychute.gateway.recovery.loss_table import Loss, LossTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.crashes.crash_decision import CrashDecision
    from savorychute.crashes.request_traits import RequestTraits
    from savorychute.crashes.verdict import Verdict
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# The verdicts are read together with the configuration, without which nothing is served.
MAX_UNINFORMED_MS = 10_000


class CrashObserver(Protocol):
    """Is notified of what the guard finds, for the log."""

    def crash_counted(self, service: str, lost: LostRequest, crashes: int) -> None:
        """Handle a lost request that counts as a crash."""
        ...

    def traits_cleared(self, service: str, traits: Sequence[int]) -> None:
        """Handle traits that a success has cleared."""
        ...

    def verdict_changed(self, verdict: Verdict, reason: str) -> None:
        """Handle a change of a verdict."""
        ...


class CrashGuard:
    """Accuses the requests lost with an endpoint, and clears those that succeed.

    Every path that sends a request asks :meth:`decide`.

    :param now_ms: the current time.
    """

    def __init__(self, now_ms: int) -> None:
        self.judge = CrashJudge(now_ms)
        self._informed_by_ms = now_ms + MAX_UNINFORMED_MS
        # Whether the verdicts of earlier runs are known.
        self.is_known = False
        self.judge.on_verdict = self._handle_verdict
        self._losses = LossTable()
        self.observer: CrashObserver | None = None
        # Called with the service, lost requests and when they were lost.
        self.on_losses: Callable[[str, list[LostRequest], int], None] | None = None
        # Called with the service and the traits that a success has cleared.
        self.on_cleared: Callable[[str, list[int]], None] | None = None
        # Called with each change of a verdict that this instance makes.
        self.on_verdict: Callable[[Verdict], None] | None = None
        # Called when requests in progress may be concerned by a new verdict.
        self.on_conviction: Callable[[], None] | None = None

    def inform(self) -> None:
        """Record that the verdicts of earlier runs are known."""
        self.is_known = True

    def is_informed(self, now_ms: int) -> bool:
        """Return whether this instance knows the verdicts, or cannot wait for them.

        :param now_ms: the current time.
        """
        return self.is_known or now_ms >= self._informed_by_ms

    def decide(
        self, service: str, traits: RequestTraits, now_ms: int, *, may_try: bool = False
    ) -> CrashDecision:
        """Return whether and where a request may run.

        :param service: its service.
        :param traits: its traits.
        :param now_ms: the current time.
        :param may_try: whether the request may begin a trial that is due.
        """
        return self.judge.decide(service, traits, now_ms, may_try=may_try)

    # -- observations of this instance

    def record_interruption(
        self, service: str, traits: RequestTraits, run: EndpointRun, now_ms: int
    ) -> None:
        """Record that an attempt was lost while its endpoint may have run it.

        :param service: the service of the request.
        :param traits: the traits of the request.
        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        loss = Loss(service, traits, now_ms)
        if self._losses.record(run, loss):
            self._count(run, [loss], now_ms)

    def endpoint_ended(self, run: EndpointRun, now_ms: int) -> None:
        """Count the attempts lost with an endpoint that is gone.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        losses = self._losses.confirm(run, now_ms)
        if losses:
            self._count(run, losses, now_ms)

    def record_success(
        self, service: str, traits: RequestTraits, run: EndpointRun, now_ms: int
    ) -> None:
        """Record that an endpoint has survived a request.

        :param service: the service of the request.
        :param traits: the traits of the request.
        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        if self._losses.withdraw(run):
            self.judge.withdraw(service, _make_run_key(run))
        cleared = self.judge.clear_request(service, traits, now_ms)
        if not cleared:
            return
        if self.observer is not None:
            self.observer.traits_cleared(service, cleared)
        shared = [trait for trait in cleared if trait != traits.request]
        if shared and self.on_cleared is not None:
            self.on_cleared(service, shared)

    def _count(self, run: EndpointRun, losses: Sequence[Loss], now_ms: int) -> None:
        key = _make_run_key(run)
        by_service: dict[str, list[LostRequest]] = {}
        for loss in losses:
            lost = make_lost_request(key, loss.traits.request, loss.traits.parts)
            by_service.setdefault(loss.service, []).append(lost)
        at_ms = min(loss.at_ms for loss in losses)
        for service, lost_requests in by_service.items():
            new = self.judge.record_losses(service, lost_requests, at_ms, now_ms)
            self._log_losses(service, new)
            if new and self.on_losses is not None:
                self.on_losses(service, new, at_ms)

    def _log_losses(self, service: str, losses: Sequence[LostRequest]) -> None:
        if self.observer is None:
            return
        evidence = self.judge.evidence(service)
        for lost in losses:
            crashes = max(map(evidence.weigh_crashes, lost.traits))
            self.observer.crash_counted(service, lost, crashes)

    # -- news of other instances

    def merge_verdict(self, verdict: Verdict, now_ms: int) -> bool:
        """Apply a change that another instance made; return whether it is new.

        :param verdict: the verdict after the change.
        :param now_ms: the current time.
        """
        is_new = self.judge.merge(verdict, now_ms)
        if is_new:
            self._notify(verdict, 'told')
        return is_new

    def _handle_verdict(self, verdict: Verdict, reason: str) -> None:
        self._notify(verdict, reason)
        if self.on_verdict is not None:
            self.on_verdict(verdict)

    def _notify(self, verdict: Verdict, reason: str) -> None:
        if self.observer is not None:
            self.observer.verdict_changed(verdict, reason)
        if not verdict.lifted and self.on_conviction is not None:
            self.on_conviction()


def _make_run_key(run: EndpointRun) -> str:
    return f'{run.endpoint}@{run.born_ms}'
