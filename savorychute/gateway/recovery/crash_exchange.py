"""Exchanges crashes, successes and verdicts with the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.crashes.crash_evidence import HISTORY_MS, NOVELTY_MS
from savorychute.gateway.recovery.crash_report import CrashReport, TraitSuccess
from savorychute.gateway.recovery.verdict_news import (
    VerdictNews,
    VerdictState,
    make_state,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from savorychute.clock import Clock
    from savorychute.crashes.lost_request import LostRequest
    from savorychute.crashes.verdict import Verdict, VerdictKey
    from savorychute.gateway.recovery.crash_guard import CrashGuard
    from savorychute.gateway.requests.attempt_port import TimerPort
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# A datagram may be lost; 3 of them sent 500 ms apart reach any instance that responds to
# probes.
SENDS = 3
RESEND_INTERVAL_MS = 500
# Keeps a message well below the maximum size of a datagram.
TRAITS_PER_MESSAGE = 128
VERDICTS_PER_MESSAGE = 16
# One answer may lack a datagram.
MIN_EXPERIENCED_ANSWERS = 2
# Limits the response to an instance that has just started.
MAX_REPORTED_CRASHES = 64
# All instances may know that a popular part has succeeded; one that waits for a random
# part of this delay usually hears it from another one first.
REPLY_DELAY_PER_MEMBER_MS = 4
MAX_REPLY_DELAY_MS = 500


class _Resend(NamedTuple):
    message: VerdictNews | CrashReport
    sends_left: int
    sent_ms: int


class CrashExchange:
    """Sends what this instance finds to all others at once, and some more times.

    Crashes are rare, so this costs nothing in normal operation.  All instances have to
    know them, because the next request may come to any of them.

    :param guard: the crashes and verdicts of this instance.
    :param rng: random numbers for delays.
    :param clock: monotonic clock.
    :param timers: sets the timers of delayed replies.
    """

    def __init__(
        self, guard: CrashGuard, rng: random.Random, clock: Clock, timers: TimerPort
    ) -> None:
        self._guard = guard
        self._rng = rng
        self._clock = clock
        self._timers = timers
        self.view: MemberView | None = None
        self._send: Callable[[SendPeer], None] | None = None
        self._resends: list[_Resend] = []
        # Successes of which others have told, and when.
        self._heard_ms: dict[tuple[str, int], int] = {}
        self._experienced_answers = 0
        # The newest state of each verdict that the store holds.
        self.stored: dict[VerdictKey, int] = {}
        guard.on_losses = self._report_losses
        guard.on_cleared = self._report_cleared
        guard.on_verdict = self.report_verdict

    def connect(self, send: Callable[[SendPeer], None]) -> None:
        """Set how messages are sent.

        :param send: sends a message to another instance.
        """
        self._send = send

    def set_view(self, view: MemberView) -> None:
        """Set the current members, and send again what is due.

        :param view: the members.
        """
        self.view = view
        now_ms = self._clock.now_ms()
        self._guard.judge.expire(now_ms)
        due = [
            each
            for each in self._resends
            if now_ms - each.sent_ms >= RESEND_INTERVAL_MS
        ]
        if due:
            self._resends = [each for each in self._resends if each not in due]
            for each in due:
                message = _age(each.message, now_ms - each.sent_ms)
                self._broadcast(message, each.sends_left)
        self._expire_heard(now_ms)
        self._forget_stored()

    # -- telling

    def _report_losses(
        self, service: str, losses: Sequence[LostRequest], at_ms: int
    ) -> None:
        age_ms = self._clock.now_ms() - at_ms
        for batch in _split_losses(losses):
            traits = {trait for lost in batch for trait in lost.parts}
            successes = self._list_successes(service, traits)
            report = CrashReport(service, tuple(batch), age_ms, successes)
            self._broadcast(report, SENDS)

    def _report_cleared(self, service: str, traits: Sequence[int]) -> None:
        successes = tuple(TraitSuccess(trait, 0) for trait in traits)
        self._broadcast(CrashReport(service, (), 0, successes), SENDS - 1)

    def report_verdict(self, verdict: Verdict) -> None:
        """Tell the other instances of a verdict.

        :param verdict: the verdict.
        """
        state = self._make_state(verdict)
        self._broadcast(VerdictNews((state,)), SENDS)

    def respond(self, requester: MemberAddress) -> Iterator[SendPeer]:
        """Yield the responses to an instance that has started.

        :param requester: the instance.
        """
        for message in self._list_all():
            yield _make_action(requester, message)

    def _list_all(self) -> Iterator[VerdictNews | CrashReport]:
        verdicts = list(self._guard.judge.verdicts)
        for start in range(0, len(verdicts), VERDICTS_PER_MESSAGE):
            batch = verdicts[start : start + VERDICTS_PER_MESSAGE]
            yield VerdictNews(tuple(map(self._make_state, batch)))
        now_ms = self._clock.now_ms()
        for service, evidence in self._guard.judge.all_evidence():
            for losses, at_ms in evidence.newest_crashes(MAX_REPORTED_CRASHES):
                for group in _split_losses(losses):
                    traits = {trait for lost in group for trait in lost.traits}
                    successes = self._list_successes(service, traits)
                    yield CrashReport(service, tuple(group), now_ms - at_ms, successes)
        observed_ms = self._guard.judge.observation_ms(now_ms)
        yield VerdictNews((), self._guard.is_known, observed_ms)

    def _make_state(self, verdict: Verdict) -> VerdictState:
        is_stored = self.stored.get(verdict.key, 0) >= verdict.sequence
        return make_state(verdict, self._clock.now_ms(), is_stored=is_stored)

    def _list_successes(
        self, service: str, traits: Iterable[int]
    ) -> tuple[TraitSuccess, ...]:
        now_ms = self._clock.now_ms()
        evidence = self._guard.judge.evidence(service)
        successes = ((trait, evidence.success_ms(trait)) for trait in traits)
        return tuple(
            TraitSuccess(trait, now_ms - success_ms)
            for trait, success_ms in successes
            if success_ms is not None and now_ms - success_ms <= NOVELTY_MS
        )

    # -- hearing

    def handle_report(self, report: CrashReport) -> None:
        """Apply a report, and reply if it accuses traits known to succeed.

        :param report: the report of another instance.
        """
        now_ms = self._clock.now_ms()
        judge = self._guard.judge
        service = report.service
        for success in report.successes:
            self._heard_ms[service, success.trait] = now_ms
            at_ms = now_ms - success.age_ms
            judge.record_successes(service, (success.trait,), at_ms, now_ms)
        if not report.losses:
            return
        at_ms = now_ms - report.age_ms
        judge.record_losses(service, report.losses, at_ms, now_ms)
        told = {success.trait for success in report.successes}
        accused = {part for lost in report.losses for part in lost.parts} - told
        if self._list_successes(service, accused):
            self._reply_later(service, accused, now_ms)

    def _reply_later(self, service: str, accused: set[int], now_ms: int) -> None:
        members = len(self.view.alive) if self.view is not None else 1
        longest_ms = min(MAX_REPLY_DELAY_MS, REPLY_DELAY_PER_MEMBER_MS * members)

        def reply() -> None:
            unheard = {
                trait
                for trait in accused
                if self._heard_ms.get((service, trait), now_ms - 1) < now_ms
            }
            successes = self._list_successes(service, unheard)
            if successes:
                self._broadcast(CrashReport(service, (), 0, successes), 1)

        self._timers.call_later(self._rng.randint(0, longest_ms), reply)

    def handle_verdicts(self, news: VerdictNews) -> None:
        """Apply verdicts of another instance.

        :param news: the verdicts.
        """
        now_ms = self._clock.now_ms()
        for state in news.verdicts:
            verdict = state.to_verdict(now_ms)
            if verdict is None:
                continue
            if state.is_stored:
                self.record_stored(verdict)
            self._guard.merge_verdict(verdict, now_ms)
        if news.is_complete:
            self._guard.inform()
        if news.observed_ms:
            self._guard.judge.inherit_observations(news.observed_ms, now_ms)
        if news.is_complete and news.observed_ms >= HISTORY_MS:
            self._experienced_answers += 1

    @property
    def is_caught_up(self) -> bool:
        """Whether instances that have run for a while have told what they know."""
        return self._experienced_answers >= MIN_EXPERIENCED_ANSWERS

    def record_stored(self, verdict: Verdict) -> None:
        """Record that the store holds a verdict.

        :param verdict: the verdict.
        """
        known = self.stored.get(verdict.key, 0)
        self.stored[verdict.key] = max(known, verdict.sequence)

    # -- sending

    def _broadcast(self, message: VerdictNews | CrashReport, sends: int) -> None:
        if self.view is not None and self._send is not None:
            for member in self.view.alive:
                if member.instance != self.view.own.instance:
                    self._send(_make_action(member, message))
        if sends > 1:
            resend = _Resend(message, sends - 1, self._clock.now_ms())
            self._resends.append(resend)

    def _expire_heard(self, now_ms: int) -> None:
        if len(self._heard_ms) > TRAITS_PER_MESSAGE:
            self._heard_ms = {
                key: heard_ms
                for key, heard_ms in self._heard_ms.items()
                if now_ms - heard_ms <= MAX_REPLY_DELAY_MS
            }

    def _forget_stored(self) -> None:
        """Forget the stored states of verdicts that this instance has forgotten.

        The states of a verdict on the same traits begin anew.
        """
        verdicts = self._guard.judge.verdicts
        for key in [key for key in self.stored if verdicts.get(key) is None]:
            del self.stored[key]


def _split_losses(losses: Sequence[LostRequest]) -> Iterator[list[LostRequest]]:
    """Yield the lost requests in groups that fit into a message each."""
    batch: list[LostRequest] = []
    size = 0
    for lost in losses:
        if batch and size + len(lost.traits) > TRAITS_PER_MESSAGE:
            yield batch
            batch, size = [], 0
        batch.append(lost)
        size += len(lost.traits)
    if batch:
        yield batch


def _age(
    message: VerdictNews | CrashReport, elapsed_ms: int
) -> VerdictNews | CrashReport:
    """Return a message as it is sent some time later."""
    if isinstance(message, CrashReport):
        successes = tuple(
            each._replace(age_ms=each.age_ms + elapsed_ms) for each in message.successes
        )
        return message._replace(age_ms=message.age_ms + elapsed_ms, successes=successes)
    verdicts = tuple(
        each._replace(due_in_ms=each.due_in_ms - elapsed_ms)
        for each in message.verdicts
    )
    return message._replace(verdicts=verdicts)


def _make_action(member: MemberAddress, message: VerdictNews | CrashReport) -> SendPeer:
    return SendPeer(member.instance, member.host, member.peer_port, message)
