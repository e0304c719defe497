"""A bounded scenario: one issued key, two or three instances, two endpoints.

Each possible next step is an *event*; the explorer tries all orders of events.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from key_fixture import make_address

from savorychute.actions import SendPeer
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.ran import Ran
from savorychute.requests import (
    KeyGranted,
    KeyIssuer,
    KeyManager,
    KeyRedirect,
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
OUTCOME_LOST = 'connection lost'
OUTCOME_ANSWERED = 'answer'


class Submission(NamedTuple):
    """A request of the caller in flight to an instance."""

    instance: str
    request_id: str


class Peer(NamedTuple):
    """A peer message in flight."""

    instance: str
    sender: str
    message: object


class Reply(NamedTuple):
    """The reply of an endpoint to an attempt: ``ok``, ``refused`` or ``broken``."""

    instance: str
    request_id: str
    result: str


class Attempt(NamedTuple):
    """A request that an instance may send, or that an endpoint has received."""

    instance: str
    request_id: str
    endpoint: str


class Budget(NamedTuple):
    """The remaining number of events of each limited kind."""

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
    """One possible next step."""

    kind: str
    target: int | str = ''


class NoClaimHandler:
    """Replaces the handler of caller-supplied keys, which this scenario omits."""

    def tick(self, *_times):
        """Return no actions."""
        return []


NO_CLAIM_HANDLER = NoClaimHandler()


class KeySimulation:
    """The state of the scenario; :meth:`events` and :meth:`apply` drive it."""

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
        self.initial_addresses = dict(self.addresses)
        self.managers = {
            name: KeyManager(self.settings, self.addresses[name], random.Random(name))
            for name in instances
        }
        for manager in self.managers.values():
            manager._claim_handler = NO_CLAIM_HANDLER
        self.hidden_members: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.suspects: frozenset[str] = frozenset()
        self.pending_ticks: set[str] = set()
        self.in_flight: list[Submission | Peer | Reply] = []
        self.to_send: list[Attempt] = []
        self.at_endpoint: list[Attempt] = []
        self.submitted: dict[str, str] = {}
        self.final_answers: dict[str, str] = {}
        self.endpoints: dict[str, str] = {}
        self.runs = 0
        issuer = self.managers[ISSUER].issuer
        self.key = issuer.issue(self.view(ISSUER), self.now_ms)
        witness = parse_key(self.key).witness
        self.other_instance = (set(instances) - {ISSUER, witness} or {witness}).pop()
        self.submit(ISSUER)

    constant_types = (KeyIssuer, KeySettings, MemberAddress, NoClaimHandler, RequestKey)

    def view(self, own: str) -> MemberView:
        """Return the members from the possibly wrong view of *own*.

        Other members have their initial addresses: a restart is not detected yet.
        """
        alive = tuple(
            self.addresses[name] if name == own else address
            for name, address in self.initial_addresses.items()
            if (own, name) not in self.hidden_members
        )
        suspects = self.suspects if own != ISSUER else frozenset()
        return MemberView(self.addresses[own], alive, suspects)

    def events(self) -> list[Event]:
        """Return all events that are possible next."""
        events = [
            Event('deliver', i)
            for i, m in enumerate(self.in_flight)
            if self.is_running(m)
        ]
        events += [
            Event('send', i) for i, a in enumerate(self.to_send) if self.is_running(a)
        ]
        for i in range(len(self.at_endpoint)):
            events += [Event('run', i), Event('run broken', i)]
            events += [Event('refuse', i)] * (self.budget.refusals > 0)
        events += [Event('tick', n) for n in sorted(self.pending_ticks - self.paused)]
        events += [Event('wake', name) for name in sorted(self.paused)]
        events += self.fault_events()
        if (
            self.has_timers
            and not self.pending_ticks - self.paused
            and self.budget.jumps
        ):
            events.append(Event('jump'))
        return events

    def fault_events(self) -> list[Event]:
        """Return the faults that are possible next, and the retry of the caller."""
        events = []
        if self.budget.losses:
            events += [Event('lose', i) for i in range(len(self.in_flight))]
        if self.budget.repeats:
            events += [
                Event('repeat', i)
                for i, m in enumerate(self.in_flight)
                if isinstance(m, Peer)
            ]
        if self.budget.crashes:
            events += [Event('crash', name) for name in sorted(self.managers)]
        if self.budget.restarts:
            crashed = sorted(self.addresses.keys() - self.managers.keys())
            events += [Event('restart', name) for name in crashed]
        if self.budget.pauses:
            running = sorted(self.managers.keys() - self.paused)
            events += [Event('pause', name) for name in running]
        if self.budget.suspicions:
            events.append(Event('suspect'))
        if (self.other_instance, ISSUER) not in self.hidden_members:
            events.append(Event('unsee'))
        if self.budget.submissions and self.other_instance in self.managers:
            events.append(Event('submit'))
        return events

    def is_running(self, item: Submission | Peer | Reply | Attempt) -> bool:
        """Return whether the instance of an item is neither crashed nor paused."""
        return item.instance in self.managers and item.instance not in self.paused

    @property
    def has_timers(self) -> bool:
        """Whether a timeout or resend is pending at any instance."""
        return any(self.due_ms(name) is not None for name in self.managers)

    def is_due(self, name: str) -> bool:
        """Return whether a timeout or resend of an instance is due."""
        due_ms = self.due_ms(name)
        return due_ms is not None and due_ms <= self.now_ms

    def due_ms(self, name: str) -> int | None:
        """Return the time of the next timeout or resend of an instance."""
        manager = self.managers[name]
        due_times_ms = (
            manager._start_handler.next_due_ms(),
            manager._question_handler.next_due_ms(),
        )
        return min((due for due in due_times_ms if due is not None), default=None)

    def apply(self, event: Event) -> None:
        """Apply *event* to the state."""
        getattr(self, 'on_' + event.kind.replace(' ', '_'))(event.target)

    def spend(self, **fields: int) -> None:
        """Reduce the budget."""
        remaining = {name: getattr(self.budget, name) - n for name, n in fields.items()}
        self.budget = self.budget._replace(**remaining)

    def submit(self, instance: str) -> None:
        """Send the request of the caller, with the key, to an instance."""
        request_id = f'r{len(self.submitted)}'
        self.submitted[request_id] = instance
        self.in_flight.append(Submission(instance, request_id))

    def on_submit(self, _target: str) -> None:
        """Send the request of the caller to the other instance as well."""
        self.spend(submissions=1)
        self.submit(self.other_instance)

    def on_unsee(self, _target: str) -> None:
        """Remove the issuer from the member view of the other instance."""
        self.hidden_members.add((self.other_instance, ISSUER))

    def on_suspect(self, _target: str) -> None:
        """Mark the issuer as suspected at all other instances."""
        self.spend(suspicions=1)
        self.suspects = frozenset({ISSUER})

    def on_deliver(self, index: int) -> None:
        """Deliver an item to its instance."""
        item = self.in_flight.pop(index)
        manager = self.managers[item.instance]
        view = self.view(item.instance)
        if isinstance(item, Peer):
            results = manager.receive(item.sender, item.message, view, self.now_ms)
        elif isinstance(item, Submission):
            results = manager.admit(item.request_id, self.key, 'f', view, self.now_ms)
        else:
            results = self.handle_reply(manager, item)
        self.process_results(item.instance, results)

    def handle_reply(self, manager, reply):
        """Handle the reply of an endpoint as an instance does."""
        request_id = reply.request_id
        if reply.result == 'refused':
            self.endpoints[request_id] = 'e2'
            view = self.view(reply.instance)
            return manager.announce_start(request_id, 'e2', STREAM, view, self.now_ms)
        if reply.result == 'broken':
            self.record_answer(request_id, Ran.UNKNOWN.value)
            return manager.settle_unknown(request_id, self.now_ms)
        self.record_answer(request_id, OUTCOME_ANSWERED)
        return manager.finish(request_id, 200, 'text/plain', b'done', self.now_ms)

    def on_lose(self, index: int) -> None:
        """Lose a peer message, a submission or an endpoint reply."""
        self.spend(losses=1)
        item = self.in_flight.pop(index)
        if isinstance(item, Submission):
            self.record_answer(item.request_id, OUTCOME_LOST)
        elif isinstance(item, Reply):
            self.in_flight.append(item._replace(result='broken'))

    def on_repeat(self, index: int) -> None:
        """Deliver a peer message twice."""
        self.spend(repeats=1)
        self.in_flight.append(self.in_flight[index])

    def on_crash(self, name: str) -> None:
        """Crash an instance, which loses its state."""
        self.spend(crashes=1)
        del self.managers[name]
        self.pending_ticks.discard(name)
        self.paused.discard(name)
        self.in_flight = [item for item in self.in_flight if item.instance != name]
        self.to_send = [item for item in self.to_send if item.instance != name]
        for request_id, instance in self.submitted.items():
            if instance == name and request_id not in self.final_answers:
                self.record_answer(request_id, OUTCOME_LOST)

    def on_restart(self, name: str) -> None:
        """Restart a crashed instance without any state."""
        self.spend(restarts=1)
        address = make_address(name, 2)
        self.addresses[name] = address
        self.managers[name] = KeyManager(self.settings, address, random.Random(2))
        self.managers[name]._claim_handler = NO_CLAIM_HANDLER

    def on_pause(self, name: str) -> None:
        """Pause an instance, which does not notice it."""
        self.spend(pauses=1)
        self.paused.add(name)

    def on_wake(self, name: str) -> None:
        """Resume a paused instance."""
        self.paused.discard(name)

    def on_jump(self, _target: str) -> None:
        """Advance the clock to the next timeout or resend."""
        self.spend(jumps=1)
        due_times_ms = [self.due_ms(name) for name in self.managers]
        next_due_times_ms = [due for due in due_times_ms if due is not None]
        self.now_ms = max(self.now_ms, min(next_due_times_ms))
        due_instances = {name for name in self.managers if self.is_due(name)}
        self.pending_ticks = due_instances | (self.managers.keys() & {ISSUER})

    def on_tick(self, name: str) -> None:
        """Tick an instance."""
        self.pending_ticks.discard(name)
        results = self.managers[name].tick(self.view(name), self.now_ms)
        self.process_results(name, results)

    def on_send(self, index: int) -> None:
        """Send an attempt to its endpoint."""
        self.at_endpoint.append(self.to_send.pop(index))

    def on_run(self, index: int) -> None:
        """Run the request at the endpoint and reply."""
        attempt = self.at_endpoint.pop(index)
        self.runs += 1
        self.send_reply(attempt, 'ok')

    def on_run_broken(self, index: int) -> None:
        """Run the request at the endpoint and break off its reply."""
        attempt = self.at_endpoint.pop(index)
        self.runs += 1
        self.send_reply(attempt, 'broken')

    def on_refuse(self, index: int) -> None:
        """Reply with proof that the endpoint did not start the request."""
        self.spend(refusals=1)
        self.send_reply(self.at_endpoint.pop(index), 'refused')

    def send_reply(self, attempt: Attempt, result: str) -> None:
        """Send the reply of an endpoint unless its connection was closed."""
        if attempt.request_id not in self.final_answers:
            self.in_flight.append(Reply(attempt.instance, attempt.request_id, result))

    def record_answer(self, request_id: str, answer: str) -> None:
        """Record the final answer to a request."""
        assert request_id not in self.final_answers, f'{request_id} was answered twice'
        self.final_answers[request_id] = answer

    def process_results(self, instance, results) -> None:
        """Carry out the results of a key manager."""
        for result in results:
            if isinstance(result, SendPeer):
                if result.instance in self.managers:
                    peer = Peer(result.instance, instance, result.message)
                    self.in_flight.append(peer)
            elif isinstance(result, KeyGranted):
                view = self.view(instance)
                manager = self.managers[instance]
                announced = manager.announce_start(
                    result.request_id, 'e1', STREAM, view, self.now_ms
                )
                self.process_results(instance, announced)
            elif isinstance(result, StartPermitted):
                endpoint = self.endpoints.get(result.request_id, 'e1')
                self.to_send.append(Attempt(instance, result.request_id, endpoint))
            elif isinstance(result, KeyRedirect):
                self.record_answer(result.request_id, 'redirect')
                if result.address.instance in self.managers:
                    self.submit(result.address.instance)
            elif isinstance(result, KeyReplay):
                self.record_answer(result.request_id, OUTCOME_ANSWERED)
            elif isinstance(result, KeyRefused | StartDenied):
                self.record_answer(result.request_id, result.ran.value)

    def check(self) -> None:
        """Check the invariants of every state."""
        assert self.runs <= 1, 'the request ran twice'
        final_answers = self.final_answers.values()
        assert not (self.runs and Ran.NOT_RUN.value in final_answers), (
            'not-run was reported although the request ran'
        )
        assert self.runs or not {OUTCOME_ANSWERED, Ran.RAN.value} & set(
            final_answers
        ), 'a run was reported although none took place'

    def check_end(self) -> None:
        """Check that each request was answered once no event is possible any more."""
        if self.has_timers:
            return
        for request_id in self.submitted:
            assert request_id in self.final_answers, f'{request_id} was not answered'
