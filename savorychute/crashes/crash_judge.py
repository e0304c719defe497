"""Accuses, clears and convicts what requests that crash endpoints have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.crashes.cause import MIN_CRASHES, find_causes
from savorychute.crashes.crash_decision import FREE, CrashDecision, CrashDecisionKind
from savorychute.crashes.crash_evidence import CrashEvidence
from savorychute.crashes.verdict import VerdictKey, make_verdict
from savorychute.crashes.verdict_table import VerdictTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from savorychute.crashes.cause import Cause
    from savorychute.crashes.lost_request import LostRequest
    from savorychute.crashes.request_traits import RequestTraits
    from savorychute.crashes.verdict import Verdict

MAX_SERVICES = 64
# A request that is retried after one crash is usually innocent; a part that several
# requests may share is suspected at once.
MIN_SUSPECT_CRASHES = 2
EXPIRY_INTERVAL_MS = 10_000


class CrashJudge:
    """Decides which requests may run, by the crashes and successes of all instances.

    Requests with a suspected trait run only at one endpoint at a time, which separates
    suspects from each other: the guilty one goes on crashing endpoints, the others
    succeed elsewhere and are cleared.

    :param now_ms: the current time.
    """

    def __init__(self, now_ms: int) -> None:
        # Since when this instance, or one that has told it, observes successes.
        self._observed_since_ms = now_ms
        self._evidence: dict[str, CrashEvidence] = {}
        self.verdicts = VerdictTable()
        self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        # Whether this instance lets the requests of a due trial through.
        self.is_examiner: Callable[[VerdictKey], bool] = lambda _: True
        # Called with each change of a verdict that this instance makes, and the reason.
        self.on_verdict: Callable[[Verdict, str], None] | None = None

    def evidence(self, service: str) -> CrashEvidence:
        """Return the evidence on a service.

        :param service: name of the service.
        """
        known = self._evidence.get(service)
        if known is None:
            if len(self._evidence) >= MAX_SERVICES:
                self._evidence.pop(next(iter(self._evidence)))
            known = self._evidence[service] = CrashEvidence(self._observed_since_ms)
        return known

    def all_evidence(self) -> Sequence[tuple[str, CrashEvidence]]:
        """Return the services with evidence, and their evidence."""
        return tuple(self._evidence.items())

    def observation_ms(self, now_ms: int) -> int:
        """Return for how long successes have been observed.

        :param now_ms: the current time.
        """
        return now_ms - self._observed_since_ms

    def inherit_observations(self, duration_ms: int, now_ms: int) -> None:
        """Record that another instance has told what it observed of accused traits.

        :param duration_ms: for how long that one has observed successes.
        :param now_ms: the current time.
        """
        since_ms = now_ms - duration_ms
        if since_ms < self._observed_since_ms:
            self._observed_since_ms = since_ms
            for evidence in self._evidence.values():
                evidence.observe_since(since_ms)

    # -- deciding

    def decide(
        self, service: str, traits: RequestTraits, now_ms: int, *, may_try: bool = False
    ) -> CrashDecision:
        """Return whether and where a request may run.

        :param service: its service.
        :param traits: its traits.
        :param now_ms: the current time.
        :param may_try: whether the request may begin a trial that is due.
        """
        evidence = self._evidence.get(service)
        verdict = self.verdicts.find(service, traits.all)
        if verdict is not None:
            return self._decide_by_verdict(verdict, now_ms, may_try)
        if evidence is None or evidence.is_empty:
            return FREE
        suspects = _find_suspects(evidence, traits, now_ms)
        if not suspects:
            return FREE
        return CrashDecision(CrashDecisionKind.CONFINED, _make_lane(suspects))

    def _decide_by_verdict(
        self, verdict: Verdict, now_ms: int, may_try: bool
    ) -> CrashDecision:
        lane = _make_lane(verdict.key.traits)
        is_due = now_ms >= verdict.due_ms and self.is_examiner(verdict.key)
        if not (may_try and is_due):
            return CrashDecision(CrashDecisionKind.REFUSED, lane, verdict)
        tried = verdict.try_again(now_ms)
        self._change(tried, 'trial', now_ms)
        return CrashDecision(CrashDecisionKind.TRIAL, lane, tried)

    # -- accusing

    def record_losses(
        self, service: str, losses: Iterable[LostRequest], at_ms: int, now_ms: int
    ) -> list[LostRequest]:
        """Record requests lost in crashes; return those that were not known.

        :param service: their service.
        :param losses: the lost requests.
        :param at_ms: when they were lost.
        :param now_ms: the current time.
        """
        evidence = self.evidence(service)
        new = [lost for lost in losses if evidence.record_loss(lost, at_ms)]
        traits = {trait for lost in new for trait in lost.traits}
        if any(len(evidence.crash_times(each)) >= MIN_CRASHES for each in traits):
            self._convict(service, evidence, now_ms)
        return new

    def withdraw(self, service: str, run: str) -> None:
        """Withdraw a crash, because the run turned out to be alive.

        :param service: its service.
        :param run: the run.
        """
        evidence = self._evidence.get(service)
        if evidence is not None:
            evidence.forget_run(run)

    # -- clearing

    def record_successes(
        self, service: str, traits: Sequence[int], at_ms: int, now_ms: int
    ) -> list[int]:
        """Record traits of requests that succeeded; return those that this clears.

        :param service: their service.
        :param traits: the traits.
        :param at_ms: the time of the success.
        :param now_ms: the current time.
        """
        cleared = self.evidence(service).record_successes(traits, at_ms)
        # A verdict lasts longer than the evidence behind it.
        for verdict in self.verdicts.list_on(service, traits):
            succeeded = [each for each in verdict.key.traits if each in traits]
            cleared += [each for each in succeeded if each not in cleared]
            self._narrow(verdict, succeeded, now_ms)
        return cleared

    def clear_request(
        self, service: str, traits: RequestTraits, now_ms: int
    ) -> list[int]:
        """Record a request of this instance that succeeded; return what this clears.

        The request's own trait is recorded only if it is accused, as it is in no others.

        :param service: its service.
        :param traits: its traits.
        :param now_ms: the current time.
        """
        evidence = self.evidence(service)
        recorded = list(traits.parts)
        if evidence.is_accused(traits.request):
            recorded.append(traits.request)
        return self.record_successes(service, recorded, now_ms, now_ms)

    def lift(self, key: VerdictKey, reason: str, now_ms: int) -> None:
        """Lift a verdict, and clear its traits.

        :param key: the verdict's key.
        :param reason: why it no longer holds.
        :param now_ms: the current time.
        """
        verdict = self.verdicts.get(key)
        if verdict is not None and not verdict.lifted:
            self._change(verdict.lift(), reason, now_ms)
            self.evidence(key.service).clear(key.traits, now_ms)

    def _narrow(self, verdict: Verdict, cleared: Iterable[int], now_ms: int) -> None:
        """Reduce a verdict to the traits that have not succeeded."""
        service, traits = verdict.key
        left = tuple(trait for trait in traits if trait not in set(cleared))
        if left:
            narrowed = verdict._replace(key=VerdictKey(service, left), sequence=1)
            self._apply(narrowed, 'narrowed', now_ms)
        self._change(verdict.lift(), 'cleared', now_ms)

    # -- convicting

    def _convict(self, service: str, evidence: CrashEvidence, now_ms: int) -> None:
        def is_convicted(traits: frozenset[int]) -> bool:
            return self.verdicts.find(service, traits) is not None

        for cause in find_causes(evidence, now_ms, is_convicted):
            if self.verdicts.find(service, cause.traits) is None:
                self._convict_cause(service, cause, now_ms)

    def _convict_cause(self, service: str, cause: Cause, now_ms: int) -> None:
        key = VerdictKey(service, tuple(sorted(cause.traits)))
        verdict = make_verdict(key, cause.crashes, cause.certain, now_ms)
        self._apply(verdict, 'convicted', now_ms)

    def _apply(self, verdict: Verdict, reason: str, now_ms: int) -> None:
        """Put a verdict in force, also if it was lifted before."""
        known = self.verdicts.get(verdict.key)
        if known is not None:
            verdict = known.renew(verdict.crashes, verdict.certain, now_ms)
        self._change(verdict, reason, now_ms)

    def _change(self, verdict: Verdict, reason: str, now_ms: int) -> None:
        if self.verdicts.put(verdict, now_ms) and self.on_verdict is not None:
            self.on_verdict(verdict, reason)

    def merge(self, verdict: Verdict, now_ms: int) -> bool:
        """Apply a change that another instance made; return whether it is new.

        :param verdict: the verdict after the change.
        :param now_ms: the current time.
        """
        if not self.verdicts.put(verdict, now_ms):
            return False
        if verdict.lifted:
            self._clear_lifted(verdict.key, now_ms)
        return True

    def _clear_lifted(self, key: VerdictKey, now_ms: int) -> None:
        """Clear the traits of a lifted verdict that no narrower one concerns."""
        left = [
            trait
            for trait in key.traits
            if not self.verdicts.list_on(key.service, (trait,))
        ]
        self.evidence(key.service).clear(left, now_ms)

    def expire(self, now_ms: int) -> None:
        """Forget evidence and verdicts after their time.

        :param now_ms: the current time.
        """
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        for evidence in self._evidence.values():
            evidence.expire(now_ms)
        for verdict in self.verdicts.expire(now_ms):
            self.lift(verdict.key, 'expired', now_ms)


def _find_suspects(
    evidence: CrashEvidence, traits: RequestTraits, now_ms: int
) -> list[int]:
    """Return the suspected traits of a request, only those of the most crashes."""
    crashes = {
        part: evidence.weigh_crashes(part)
        for part in traits.parts
        if evidence.is_accused(part) and evidence.is_novel(part, now_ms)
    }
    own_crashes = len(evidence.crash_times(traits.request))
    if own_crashes >= MIN_SUSPECT_CRASHES:
        crashes[traits.request] = own_crashes
    most = max(crashes.values(), default=0)
    return [trait for trait, count in crashes.items() if count == most]


def _make_lane(traits: Iterable[int]) -> int:
    text = ' '.join(map(str, sorted(traits)))
    return int(xxhash.xxh3_64_intdigest(text.encode()))
