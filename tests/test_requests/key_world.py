"""One issued key, two or three instances, two endpoints: a bounded scene.

Everything that can happen next is an *event*; the explorer tries all orders.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from key_scene import make_address

from savorychute.actions import SendPeer
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests import (
    KeyElsewhere,
    KeyIssuer,
    KeyKeeper,
    KeyMayRun,
    KeyRefused,
    KeyReplay,
    KeySettings,
    RequestKey,
    StartDenied,
    StartPermitted,
    parse_key,
)

ISSUER = 'a'
STREAM = 's'
TOLD_LOST = 'connection lost'
TOLD_ANSWER = 'answer'


class Submission(NamedTuple):
    """A caller's request on its way to an instance."""

    instance: str
    request_id: str


class Peer(NamedTuple):
    """A peer message on its way."""

    instance: str
    sender: str
    message: object


class Reply(NamedTuple):
    """What an endpoint made of an attempt: ``ok``, ``refused`` or ``broken``."""

    instance: str
    request_id: str
    result: str


class Attempt(NamedTuple):
    """A request that an instance may send, or that an endpoint has."""

    instance: str
    request_id: str
    endpoint: str


class Budget(NamedTuple):
    """How many faults of each kind may still happen."""

    crashes: int = 0
    pauses: int = 0
    losses: int = 0
    repeats: int = 0
    refusals: int = 0
    restarts: int = 0
    suspicions: int = 0
    submissions: int = 1
    jumps: int = 0


class Event(NamedTuple):
    """One thing that may happen next."""

    kind: str
    target: int | str = ''


class NoClaims:
    """Stands where a keeper decides keys that callers bring; there are none."""

    def tick(self, *_times):
        """Have nothing to do."""
        return []


NO_CLAIMS = NoClaims()


class KeyWorld:
    """The scene's state; :meth:`events` and :meth:`apply` drive it."""

    def __init__(self, budget: Budget, instances: str = 'ab') -> None:
        self.settings = KeySettings(
            notice_interval_ms=1_000,
            notice_timeout_ms=400,
            question_interval_ms=1_000,
            question_timeout_ms=400,
        )
        self.budget = budget
        self.now_ms = 1_000
        self.addresses = {name: make_address(name) for name in instances}
        self.stale_addresses = dict(self.addresses)
        self.keepers = {
            name: KeyKeeper(self.settings, self.addresses[name], random.Random(name))
            for name in instances
        }
        for keeper in self.keepers.values():
            keeper._claims = NO_CLAIMS
        self.unseen: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.suspects: frozenset[str] = frozenset()
        self.unticked: set[str] = set()
        self.mail: list[Submission | Peer | Reply] = []
        self.to_send: list[Attempt] = []
        self.at_endpoint: list[Attempt] = []
        self.submitted: dict[str, str] = {}
        self.told: dict[str, str] = {}
        self.endpoints: dict[str, str] = {}
        self.runs = 0
        issuer = self.keepers[ISSUER].issuer
        self.key = issuer.issue(self.view(ISSUER), self.now_ms)
        witness = parse_key(self.key).witness
        self.other = (set(instances) - {ISSUER, witness} or {witness}).pop()
        self.submit(ISSUER)

    constant_types = (KeyIssuer, KeySettings, MemberAddress, NoClaims, RequestKey)

    def view(self, own: str) -> MemberView:
        """Return the members as *own* sees them, rightly or wrongly.

        Others are seen as they were at first: who restarted is not known yet.
        """
        alive = tuple(
            self.addresses[name] if name == own else address
            for name, address in self.stale_addresses.items()
            if (own, name) not in self.unseen
        )
        suspects = self.suspects if own != ISSUER else frozenset()
        return MemberView(self.addresses[own], alive, suspects)

    def events(self) -> list[Event]:
        """Return what may happen next."""
        events = [Event('deliver', i) for i, m in enumerate(self.mail) if self.is_up(m)]
        events += [
            Event('send', i) for i, a in enumerate(self.to_send) if self.is_up(a)
        ]
        for i in range(len(self.at_endpoint)):
            events += [Event('run', i), Event('run broken', i)]
            events += [Event('refuse', i)] * (self.budget.refusals > 0)
        events += [Event('tick', n) for n in sorted(self.unticked - self.paused)]
        events += [Event('wake', name) for name in sorted(self.paused)]
        events += self.fault_events()
        if self.is_waiting and not self.unticked - self.paused and self.budget.jumps:
            events.append(Event('jump'))
        return events

    def fault_events(self) -> list[Event]:
        """Return what may go wrong next, and what a caller may do."""
        events = []
        if self.budget.losses:
            events += [Event('lose', i) for i in range(len(self.mail))]
        if self.budget.repeats:
            events += [
                Event('repeat', i)
                for i, m in enumerate(self.mail)
                if isinstance(m, Peer)
            ]
        if self.budget.crashes:
            events += [Event('crash', name) for name in sorted(self.keepers)]
        if self.budget.restarts:
            gone = sorted(self.addresses.keys() - self.keepers.keys())
            events += [Event('restart', name) for name in gone]
        if self.budget.pauses:
            free = sorted(self.keepers.keys() - self.paused)
            events += [Event('pause', name) for name in free]
        if self.budget.suspicions:
            events.append(Event('suspect'))
        if (self.other, ISSUER) not in self.unseen:
            events.append(Event('unsee'))
        if self.budget.submissions and self.other in self.keepers:
            events.append(Event('submit'))
        return events

    def is_up(self, item: Submission | Peer | Reply | Attempt) -> bool:
        """Return whether the instance of an item is running."""
        return item.instance in self.keepers and item.instance not in self.paused

    @property
    def is_waiting(self) -> bool:
        """Whether time alone will bring something about."""
        return any(self.due_ms(name) is not None for name in self.keepers)

    def is_due(self, name: str) -> bool:
        """Return whether an instance has something to give up by now."""
        due_ms = self.due_ms(name)
        return due_ms is not None and due_ms <= self.now_ms

    def due_ms(self, name: str) -> int | None:
        """Return when an instance gives something up or repeats it."""
        keeper = self.keepers[name]
        dues = (keeper._starts.next_due_ms(), keeper._questions.next_due_ms())
        return min((due for due in dues if due is not None), default=None)

    def apply(self, event: Event) -> None:
        """Let *event* happen."""
        getattr(self, 'on_' + event.kind.replace(' ', '_'))(event.target)

    def spend(self, **fields: int) -> None:
        """Take from the budget."""
        left = {name: getattr(self.budget, name) - n for name, n in fields.items()}
        self.budget = self.budget._replace(**left)

    def submit(self, instance: str) -> None:
        """Let the caller send its request, with the one key, to an instance."""
        request_id = f'r{len(self.submitted)}'
        self.submitted[request_id] = instance
        self.mail.append(Submission(instance, request_id))

    def on_submit(self, _target: str) -> None:
        """Let the caller send its request again, at the other instance."""
        self.spend(submissions=1)
        self.submit(self.other)

    def on_unsee(self, _target: str) -> None:
        """Let the other instance take the issuer for dead."""
        self.unseen.add((self.other, ISSUER))

    def on_suspect(self, _target: str) -> None:
        """Let the others suspect the issuer, rightly or not."""
        self.spend(suspicions=1)
        self.suspects = frozenset({ISSUER})

    def on_deliver(self, index: int) -> None:
        """Let an instance take what has arrived."""
        item = self.mail.pop(index)
        keeper = self.keepers[item.instance]
        view = self.view(item.instance)
        if isinstance(item, Peer):
            results = keeper.receive(item.sender, item.message, view, self.now_ms)
        elif isinstance(item, Submission):
            results = keeper.admit(item.request_id, self.key, 'f', view, self.now_ms)
        else:
            results = self.take_reply(keeper, item)
        self.collect(item.instance, results)

    def take_reply(self, keeper, reply):
        """Do what an instance does with an endpoint's reply."""
        request_id = reply.request_id
        if reply.result == 'refused':
            self.endpoints[request_id] = 'e2'
            view = self.view(reply.instance)
            return keeper.announce_start(request_id, 'e2', STREAM, view, self.now_ms)
        if reply.result == 'broken':
            self.tell(request_id, Ran.UNKNOWN.value)
            return keeper.unknown(request_id, self.now_ms)
        self.tell(request_id, TOLD_ANSWER)
        return keeper.finish(request_id, 200, 'text/plain', b'done', self.now_ms)

    def on_lose(self, index: int) -> None:
        """Lose a message, a submission or an endpoint reply."""
        self.spend(losses=1)
        item = self.mail.pop(index)
        if isinstance(item, Submission):
            self.tell(item.request_id, TOLD_LOST)
        elif isinstance(item, Reply):
            self.mail.append(item._replace(result='broken'))

    def on_repeat(self, index: int) -> None:
        """Deliver a peer message twice."""
        self.spend(repeats=1)
        self.mail.append(self.mail[index])

    def on_crash(self, name: str) -> None:
        """Lose an instance with all that it knows."""
        self.spend(crashes=1)
        del self.keepers[name]
        self.unticked.discard(name)
        self.paused.discard(name)
        self.mail = [item for item in self.mail if item.instance != name]
        self.to_send = [item for item in self.to_send if item.instance != name]
        for request_id, instance in self.submitted.items():
            if instance == name and request_id not in self.told:
                self.tell(request_id, TOLD_LOST)

    def on_restart(self, name: str) -> None:
        """Start a crashed instance again, with nothing in memory."""
        self.spend(restarts=1)
        address = make_address(name, 2)
        self.addresses[name] = address
        self.keepers[name] = KeyKeeper(self.settings, address, random.Random(2))
        self.keepers[name]._claims = NO_CLAIMS

    def on_pause(self, name: str) -> None:
        """Stop an instance, unknown to itself."""
        self.spend(pauses=1)
        self.paused.add(name)

    def on_wake(self, name: str) -> None:
        """Let a paused instance go on."""
        self.paused.discard(name)

    def on_jump(self, _target: str) -> None:
        """Let time pass until something is given up."""
        self.spend(jumps=1)
        dues = [self.due_ms(name) for name in self.keepers]
        later = [due for due in dues if due is not None]
        self.now_ms = max(self.now_ms, min(later))
        due = {name for name in self.keepers if self.is_due(name)}
        self.unticked = due | (self.keepers.keys() & {ISSUER})

    def on_tick(self, name: str) -> None:
        """Let an instance see the time."""
        self.unticked.discard(name)
        results = self.keepers[name].tick(self.view(name), self.now_ms)
        self.collect(name, results)

    def on_send(self, index: int) -> None:
        """Let the first byte leave for an endpoint."""
        self.at_endpoint.append(self.to_send.pop(index))

    def on_run(self, index: int) -> None:
        """Let an endpoint run the request and answer."""
        attempt = self.at_endpoint.pop(index)
        self.runs += 1
        self.mail_reply(attempt, 'ok')

    def on_run_broken(self, index: int) -> None:
        """Let an endpoint run the request and its answer break."""
        attempt = self.at_endpoint.pop(index)
        self.runs += 1
        self.mail_reply(attempt, 'broken')

    def on_refuse(self, index: int) -> None:
        """Let an endpoint prove that it did not start."""
        self.spend(refusals=1)
        self.mail_reply(self.at_endpoint.pop(index), 'refused')

    def mail_reply(self, attempt: Attempt, result: str) -> None:
        """Send an endpoint's reply unless its connection is gone."""
        if attempt.request_id not in self.told:
            self.mail.append(Reply(attempt.instance, attempt.request_id, result))

    def tell(self, request_id: str, what: str) -> None:
        """Give a caller its final answer."""
        assert request_id not in self.told, f'{request_id} is answered twice'
        self.told[request_id] = what

    def collect(self, instance, results) -> None:
        """Do what a keeper asks for."""
        for result in results:
            if isinstance(result, SendPeer):
                if result.instance in self.keepers:
                    peer = Peer(result.instance, instance, result.message)
                    self.mail.append(peer)
            elif isinstance(result, KeyMayRun):
                view = self.view(instance)
                keeper = self.keepers[instance]
                more = keeper.announce_start(
                    result.request_id, 'e1', STREAM, view, self.now_ms
                )
                self.collect(instance, more)
            elif isinstance(result, StartPermitted):
                endpoint = self.endpoints.get(result.request_id, 'e1')
                self.to_send.append(Attempt(instance, result.request_id, endpoint))
            elif isinstance(result, KeyElsewhere):
                self.tell(result.request_id, 'redirect')
                if result.address.instance in self.keepers:
                    self.submit(result.address.instance)
            elif isinstance(result, KeyReplay):
                self.tell(result.request_id, TOLD_ANSWER)
            elif isinstance(result, KeyRefused | StartDenied):
                self.tell(result.request_id, result.ran.value)

    def check(self) -> None:
        """Check what must hold in every state."""
        assert self.runs <= 1, 'ran twice'
        told = self.told.values()
        assert not (self.runs and Ran.NOT_RUN.value in told), 'false not-run'
        assert self.runs or not {TOLD_ANSWER, Ran.RAN.value} & set(told), 'no run'

    def check_end(self) -> None:
        """Check that nobody still waits when nothing can happen any more."""
        if self.is_waiting:
            return
        for request_id in self.submitted:
            assert request_id in self.told, f'{request_id} got no answer'
