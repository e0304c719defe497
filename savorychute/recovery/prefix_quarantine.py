"""The quarantine of prompts that begin with what crashes endpoints."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.crash_judge import CrashJudge
from savorychute.crashes.lost_request import make_lost_request
from savorychute.crashes.request_traits import RequestTraits, make_traits
from savorychute.membership.rendezvous import score_member
from savorychute.recovery.prefix_news import PrefixLoss, PrefixNews

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.crashes.verdict import VerdictKey
    from savorychute.membership import MemberView
    from savorychute.recovery.quarantine_settings import QuarantineSettings

# Instances see the crash of an endpoint within this time of each other.
SAME_CRASH_MS = 1_000
MAX_CRASHES = 256
LOSSES_PER_MESSAGE = 8


class _Prompt(NamedTuple):
    pool: str
    traits: RequestTraits


class _Crash(NamedTuple):
    endpoint: str
    at_ms: int
    run: str


class PrefixQuarantine:
    """Finds the prefix that lost prompts have in common, and refuses prompts with it.

    The quarantine of single requests does not recognise requests that differ.  A request
    is known by its fingerprint from :meth:`register` on.

    :param settings: the number of fingerprints, and how many peers are notified.
    :param instance: the name of this instance.
    :param rng: chooses the peers to notify.
    """

    def __init__(
        self, settings: QuarantineSettings, instance: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._rng = rng
        self._prompts: OrderedDict[str, _Prompt] = OrderedDict()
        self._judge: CrashJudge | None = None
        self._view: MemberView | None = None
        self._crashes: list[_Crash] = []
        self._news: list[tuple[int, PrefixNews]] = []
        # Requests that are let through to find out whether a verdict still holds.
        self._trials: OrderedDict[str, None] = OrderedDict()

    def register(self, fingerprint: str, pool: str, prefixes: tuple[int, ...]) -> None:
        """Remember the prompt of a request.

        :param fingerprint: identifies the request.
        :param pool: its pool.
        :param prefixes: the hash chain of its prompt.
        """
        if not prefixes:
            return
        traits = RequestTraits(make_traits(fingerprint).request, prefixes)
        self._prompts[fingerprint] = _Prompt(pool, traits)
        self._prompts.move_to_end(fingerprint)
        if len(self._prompts) > self._settings.fingerprints:
            self._prompts.popitem(last=False)

    def refuses(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a request must not run, because of a prefix of its prompt.

        :param fingerprint: identifies the request.
        :param now_ms: the current time.
        """
        prompt = self._prompts.get(fingerprint)
        if prompt is None or self._judge is None or fingerprint in self._trials:
            return False
        decision = self._judge.decide(prompt.pool, prompt.traits, now_ms, may_try=True)
        if decision.kind is CrashDecisionKind.TRIAL:
            self._trials[fingerprint] = None
            if len(self._trials) > MAX_CRASHES:
                self._trials.popitem(last=False)
        return decision.kind is CrashDecisionKind.REFUSED

    def record_crash(self, fingerprint: str, endpoint: str, now_ms: int) -> None:
        """Record that a request was running at an endpoint when it crashed.

        :param fingerprint: identifies the request.
        :param endpoint: the endpoint.
        :param now_ms: the current time.
        """
        self._trials.pop(fingerprint, None)
        prompt = self._prompts.get(fingerprint)
        if prompt is None:
            return
        loss = PrefixLoss(endpoint, prompt.traits.request, prompt.traits.parts)
        self._record_losses(prompt.pool, (loss,), now_ms, now_ms)

    def record_success(self, fingerprint: str, now_ms: int) -> None:
        """Record that a request succeeded, which clears the prefixes of its prompt.

        :param fingerprint: identifies the request.
        :param now_ms: the current time.
        """
        self._trials.pop(fingerprint, None)
        prompt = self._prompts.get(fingerprint)
        if prompt is None:
            return
        judge = self._get_judge(now_ms)
        cleared = judge.clear_request(prompt.pool, prompt.traits, now_ms)
        shared = tuple(each for each in cleared if each != prompt.traits.request)
        if shared:
            self._add_news(PrefixNews(prompt.pool, (), shared, 0), now_ms)

    def withdraw_since(self, start_ms: int) -> None:
        """Withdraw the crashes since a time, which were faults of the own network.

        :param start_ms: the time.
        """
        recent = [each for each in self._crashes if each.at_ms >= start_ms]
        self._crashes = [each for each in self._crashes if each.at_ms < start_ms]
        if self._judge is None:
            return
        for pool, _ in self._judge.all_evidence():
            for crash in recent:
                self._judge.withdraw(pool, crash.run)

    def lift(self, fingerprint: str, now_ms: int) -> None:
        """Lift the verdict on a request at an operator's command.

        :param fingerprint: identifies the request.
        :param now_ms: the current time.
        """
        prompt = self._prompts.get(fingerprint)
        if prompt is None or self._judge is None:
            return
        verdict = self._judge.verdicts.find(prompt.pool, prompt.traits.all)
        if verdict is not None:
            self._judge.lift(verdict.key, 'operator', now_ms)
            self._add_news(PrefixNews(prompt.pool, (), verdict.key.traits, 0), now_ms)

    # -- other instances

    def receive(self, sender: str, news: PrefixNews, now_ms: int) -> list[Action]:
        """Apply what another instance tells; forward what is new.

        :param sender: the other instance.
        :param news: its message.
        :param now_ms: the current time.
        """
        at_ms = now_ms - news.age_ms
        judge = self._get_judge(now_ms)
        cleared = judge.record_successes(news.pool, news.cleared, at_ms, now_ms)
        if cleared:
            self._add_news(news._replace(losses=(), cleared=tuple(cleared)), now_ms)
        self._record_losses(news.pool, news.losses, at_ms, now_ms)
        return self._send_news(now_ms, excluded=sender)

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:
        """Expire old evidence, and send news to peers.

        :param view: the current members.
        :param now_ms: the current time.
        """
        self._view = view
        if self._judge is not None:
            self._judge.expire(now_ms)
        return self._send_news(now_ms)

    def _record_losses(
        self, pool: str, losses: tuple[PrefixLoss, ...], at_ms: int, now_ms: int
    ) -> None:
        new = [
            loss
            for loss in losses
            if self._get_judge(now_ms).record_losses(
                pool,
                [make_lost_request(self._find_run(loss.endpoint, at_ms), *loss[1:])],
                at_ms,
                now_ms,
            )
        ]
        for start in range(0, len(new), LOSSES_PER_MESSAGE):
            batch = tuple(new[start : start + LOSSES_PER_MESSAGE])
            self._add_news(PrefixNews(pool, batch, (), now_ms - at_ms), now_ms)

    def _find_run(self, endpoint: str, at_ms: int) -> str:
        """Return the name of a run, the same for all that were lost with it."""
        for crash in reversed(self._crashes):
            if crash.endpoint == endpoint and abs(crash.at_ms - at_ms) <= SAME_CRASH_MS:
                return crash.run
        run = f'{endpoint}@{at_ms}'
        self._crashes.append(_Crash(endpoint, at_ms, run))
        del self._crashes[:-MAX_CRASHES]
        return run

    def _add_news(self, news: PrefixNews, now_ms: int) -> None:
        self._news.append((now_ms, news))

    def _send_news(self, now_ms: int, excluded: str = '') -> list[Action]:
        view = self._view
        if not self._news or view is None:
            return []
        peers = [
            peer
            for peer in view.alive
            if peer.instance not in (self._instance, excluded)
        ]
        chosen = self._rng.sample(peers, min(len(peers), self._settings.gossip_fanout))
        sent, self._news = self._news, []
        return [
            SendPeer(
                peer.instance,
                peer.host,
                peer.peer_port,
                news._replace(age_ms=news.age_ms + now_ms - since_ms),
            )
            for peer in chosen
            for since_ms, news in sent
        ]

    def _get_judge(self, now_ms: int) -> CrashJudge:
        if self._judge is None:
            self._judge = CrashJudge(now_ms)
            self._judge.is_examiner = self._is_examiner
        return self._judge

    def _is_examiner(self, key: VerdictKey) -> bool:
        """Return whether this instance lets the requests of a due trial through."""
        view = self._view
        if view is None:
            return False
        text = f'{key.service} {key.traits}'
        first = max(view.alive, key=lambda member: score_member(text, member))
        return first.instance == self._instance
