"""Simulation of instances, engines and callers on virtual time."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import NamedTuple

from engine_simulation import NETWORK_MS, EngineKind, SimulatedEngine, Timeline
from gateway_fakes import (
    KEY,
    START_MS,
    FakeCaller,
    make_deployment,
    make_gateway,
    make_prompt,
    make_request,
    make_route,
)

from savorychute.clock import ManualClock
from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.configuration.service_share import ServiceShare
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.engines.speed_exchange import SpeedExchange
from savorychute.gateway.requests.request_execution import RequestExecution
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

# Interval at which each instance gets the report of another, and observes its streams.
REPORT_INTERVAL_MS = 250
OBSERVE_INTERVAL_MS = 100
# A caller leaves after a gap of this length.
CALLER_PATIENCE_MS = 2_000
MAX_CALLER_ATTEMPTS = 2
# Callers come in groups: mean size of a group, and the span in which its members call.
MEAN_GROUP_SIZE = 4
GROUP_SPAN_MS = 150
# Number of shared prompts of each kind, of which engines have some cached.
SHARED_PROMPTS = 100
# Maximum share of the remaining time after which a refused caller retries.
MAX_RETRY_DELAY_SHARE = 1 / 3
# The guarantee between tiers: in any five seconds in which ten or more requests of a
# kind, and more than a twelfth of it, are unserved, no less urgent request starts.
WINDOW_MS = 5_000
MIN_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
# Time after such a shortage in which instances may still send less urgent requests,
# until all have received a report of it.
REACTION_MS = 1_000
CHECK_INTERVAL_MS = 250


class Kind(NamedTuple):
    """A kind of request: sizes in tokens, objectives and timeout."""

    name: str
    tier: int
    shared: int
    own: int
    answer: int
    target_ms: int
    gap_target_ms: int
    timeout_ms: int


CHAT = Kind('chat', 0, 170, 540, 280, 300, 150, 15_000)
NOTE = Kind('note', 1, 570, 1_800, 24, 400, 250, 3_000)
SUMMARY = Kind('summary', 2, 6_300, 2_900, 52, 1_200, 600, 5_000)
KINDS = (CHAT, NOTE, SUMMARY)


class Load(NamedTuple):
    """Requests of a kind per second, during some time."""

    kind: Kind
    per_s: float
    start_ms: int
    end_ms: int


class Violation(NamedTuple):
    """Five seconds in which a kind was unserved while a less urgent one started."""

    start_ms: int
    kind: str
    sent: int
    unserved: int
    started: int


class SimulatedAttempts:
    """Sends the attempts of one instance to engines."""

    def __init__(self, timeline, engines):
        self._timeline = timeline
        self._engines = engines

    def send(self, attempt, listener):
        return SimulatedAttempt(self._timeline, self._engines, attempt, listener)

    def check_path(self, endpoint, on_unreachable=None):
        del endpoint, on_unreachable

    def probe(self, endpoint, on_result, permit=None):
        del permit
        engine = self._engines[endpoint.endpoint]
        self._timeline.call_later(2 * NETWORK_MS, lambda: on_result(engine.report()))


class SimulatedAttempt:
    """An attempt in transit, or at its engine."""

    path_lost = False
    via = ''
    connection_number = 0
    calls_before = 0

    def __init__(self, timeline, engines, outbound, listener):
        self._engine = engines[outbound.endpoint.endpoint]
        self._job = None
        self._cancelled = False
        self._outbound = outbound
        self._listener = listener
        timeline.call_later(NETWORK_MS, self._arrive)

    def cancel(self):
        self._cancelled = True
        if self._job is not None:
            self._engine.drop(self._job)

    def _arrive(self):
        if not self._cancelled:
            self._job = self._engine.submit(self._outbound, self._listener)


class Caller(FakeCaller):
    """Waits for one request, leaves after a long gap, and retries once when refused.

    :param fleet: the fleet that it calls.
    :param kind: kind of the request.
    :param shared: number of its shared prompt.
    :param scale: relative size of its own part and its answer, 1 for the usual size.
    """

    def __init__(self, fleet, kind, shared, scale):
        super().__init__()
        self.kind = kind
        self.sent_ms = fleet.timeline.now_ms()
        self.served = False
        self.refused = False
        self.first_event_ms = None
        self.longest_gap_ms = 0
        self.ended_ms = None
        self._fleet = fleet
        self._shared = shared
        self._scale = scale
        self._attempts = 0
        self._execution = None
        self._last_event_ms = self.sent_ms

    def call(self):
        """Send the request to an instance."""
        self._attempts += 1
        self._last_event_ms = self._fleet.timeline.now_ms()
        kind = self.kind
        prompt = make_prompt(
            f'{kind.name}-{self._shared}',
            kind.shared,
            max(1, int(kind.own * self._scale)),
            max(1, int(kind.answer * self._scale)),
        )
        remaining_ms = self.sent_ms + kind.timeout_ms - self._last_event_ms
        self._execution = self._fleet.start(kind, prompt, remaining_ms, self)
        self._schedule_check()

    def send(self, data):
        del data
        now_ms = self._fleet.timeline.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self._last_event_ms
            self.longest_gap_ms = max(gap_ms, self.longest_gap_ms)
        self._last_event_ms = now_ms

    @property
    def late(self):
        """Whether an answer that was served missed an objective."""
        if not self.served or self.first_event_ms is None:
            return False
        kind = self.kind
        return (
            self.first_event_ms - self.sent_ms > kind.target_ms
            or self.longest_gap_ms > kind.gap_target_ms
        )

    def finish(self):
        self.served = True
        self._end()

    def abort(self):
        self._end()

    def refuse(self, refusal):
        timeline = self._fleet.timeline
        remaining_ms = self.sent_ms + self.kind.timeout_ms - timeline.now_ms()
        if self._attempts < MAX_CALLER_ATTEMPTS and remaining_ms > 0:
            delay_ms = min(refusal.retry_after_ms, remaining_ms * MAX_RETRY_DELAY_SHARE)
            timeline.call_later(delay_ms, self.call)
        else:
            self.refused = True
            self._end()

    def _end(self):
        self.ended_ms = self._fleet.timeline.now_ms()

    def _schedule_check(self):
        self._fleet.timeline.call_later(CALLER_PATIENCE_MS / 10, self._check_patience)

    def _check_patience(self):
        execution = self._execution
        if execution is None or execution.finished:
            return
        if self._fleet.timeline.now_ms() - self._last_event_ms > CALLER_PATIENCE_MS:
            execution.caller_left()
            self._end()
            return
        self._schedule_check()


class Fleet:
    """A simulation of instances, engines and callers.

    :param instances: number of instances.
    :param engines: the kind of each engine.
    :param loads: load that callers offer.
    :param seed: seed of all randomness.
    :param kinds: the kinds of requests.
    :param make_speeds: returns what one instance knows of the speeds of engines, from
        the engines by name; all are taken for equally fast if omitted.
    :param hot_share: share of the requests of each kind with its first shared prompt,
        besides those that draw it by chance.
    """

    # Whether the rules for competing requests apply, besides the load limits.
    competes = False
    kinds = KINDS

    def __init__(
        self,
        instances,
        engines,
        loads,
        seed,
        *,
        kinds=None,
        make_speeds=None,
        hot_share=0.0,
    ):
        if kinds is not None:
            self.kinds = kinds
        clock = ManualClock(START_MS)
        self.timeline = Timeline(clock)
        self.callers = []
        self._rng = random.Random(seed)
        self._hot_share = hot_share
        self._starts = defaultdict(list)
        self._arrivals = defaultdict(list)
        self.engines = self._engines = {
            f'e{number}': SimulatedEngine(
                self.timeline, kind, self._record_arrival, self._record_start
            )
            for number, kind in enumerate(engines)
        }
        self._demands = [PartitionDemand() for _ in range(instances)]
        deployment = self.make_deployment()
        self._gateways = [
            make_gateway(
                desks=0,
                slots=tuple(kind.slots for kind in engines),
                seed=f'{seed}-{number}',
                clock=clock,
                timers=self.timeline,
                attempts=SimulatedAttempts(self.timeline, self._engines),
                demand=demand,
                deployment=deployment,
                instance=f'i{number}',
                speeds=make_speeds and make_speeds(self._engines, number),
                competes=self.competes,
            )
            for number, demand in enumerate(self._demands)
        ]
        self.ignored_rows = []
        self._speeds = {
            f'i{number}': SpeedExchange(
                gateway.parts.speeds,
                random.Random(f'{seed}-{number}'),
                self.ignored_rows.append,
            )
            for number, gateway in enumerate(self._gateways)
        }
        members = [MemberAddress(name, 0, 'r', 'd', 'h', 1, 2) for name in self._speeds]
        self._views = [MemberView(member, tuple(members)) for member in members]
        for load in loads:
            self._schedule(load)
        self._observe()
        self._exchange_speeds()
        self._exchange_reports()

    def make_deployment(self):
        """Return the configuration of all instances."""
        return make_deployment(routes=tuple(map(make_kind_route, self.kinds)))

    def run(self, duration_ms):
        """Run the simulation for some time."""
        self.timeline.run_until(START_MS + duration_ms)
        return self

    def drain_engine(self, name, at_ms):
        """Drain an engine: it completes its requests and gets no new ones."""
        self.timeline.call_later(at_ms, lambda: self._drain(name))

    def start(self, kind, prompt, remaining_ms, caller):
        """Send a request to a random instance; return its execution."""
        gateway = self._rng.choice(self._gateways)
        gateway.parts.configuration.confirm(self.timeline.now_ms())
        request = make_request(
            f'/{kind.name}/1',
            KEY,
            method='POST',
            prompt=prompt,
            deadline_ms=remaining_ms,
        )
        admitted = gateway.intake.admit(request, self.timeline.now_ms())
        execution = RequestExecution(gateway.parts, request, admitted, caller)
        execution.start()
        return execution

    def known_speeds(self):
        """Return the speed of each engine as each instance knows it."""
        now_ms = self.timeline.now_ms()
        return [
            {
                run.endpoint: gateway.parts.speeds.speed(run, 'pool', now_ms)
                for run in gateway.parts.roster.list_runs('pool')
            }
            for gateway in self._gateways
        ]

    def known_weights(self):
        """Return the evidence of each engine that each instance holds."""
        now_ms = self.timeline.now_ms()
        weights = []
        for gateway in self._gateways:
            evidence = gateway.parts.speeds.evidence
            pools = {
                run.endpoint: evidence.pool(evidence.key(run), now_ms)
                for run in gateway.parts.roster.list_runs('pool')
            }
            weights.append(
                {
                    engine: sum(each.lasting_weight for each in pool.cells.values())
                    for engine, pool in pools.items()
                    if pool is not None
                }
            )
        return weights

    def lose_instances(self, names):
        """Stop the exchange with some instances."""
        for name in names:
            del self._speeds[name]

    def served_share(self, kind):
        """Return the share of a kind's requests that were served."""
        served = [caller.served for caller in self.callers if caller.kind is kind]
        return sum(served) / len(served) if served else 1.0

    def find_violations(self, end_ms):
        """Return the spans in which the guarantee between tiers was violated."""
        violations = []
        for start_ms in range(0, end_ms - WINDOW_MS + 1, 500):
            for kind in self.kinds[:-1]:
                violation = self._find_violation(kind, start_ms)
                if violation is not None:
                    violations.append(violation)
        return violations

    def find_unshed_requests(self, end_ms):
        """Return the requests that were sent during a shortage of a higher tier."""
        unshed = []
        for at_ms in range(REACTION_MS, end_ms, CHECK_INTERVAL_MS):
            for kind in self.kinds[:-1]:
                before_ms = at_ms - REACTION_MS
                if self._has_shortage(kind, before_ms) and self._has_shortage(
                    kind, at_ms
                ):
                    unshed.extend(self._arrivals_below(kind, at_ms))
        return unshed

    def _has_shortage(self, kind, at_ms):
        """Return whether a kind was short of capacity in the last five seconds."""
        ended = [
            caller.served
            for caller in self.callers
            if caller.kind is kind
            and caller.ended_ms is not None
            and at_ms - WINDOW_MS < caller.ended_ms - START_MS <= at_ms
        ]
        return exceeds_guarantee(len(ended) - sum(ended), len(ended))

    def _arrivals_below(self, kind, start_ms):
        return [
            (each.name, arrived_ms - START_MS)
            for each in self.kinds
            if each.tier > kind.tier
            for arrived_ms in self._arrivals[each.name]
            if start_ms <= arrived_ms - START_MS < start_ms + CHECK_INTERVAL_MS
        ]

    def _find_violation(self, kind, start_ms):
        end_ms = start_ms + WINDOW_MS
        sent = [
            caller
            for caller in self.callers
            if caller.kind is kind and start_ms <= caller.sent_ms - START_MS < end_ms
        ]
        unserved = sum(not caller.served for caller in sent)
        if not exceeds_guarantee(unserved, len(sent)):
            return None
        lower = [each for each in self.kinds if each.tier > kind.tier]
        started = sum(
            start_ms <= started_ms - START_MS < end_ms
            for each in lower
            for started_ms in self._starts[each.name]
        )
        return (
            Violation(start_ms, kind.name, len(sent), unserved, started)
            if started
            else None
        )

    def _schedule(self, load):
        at_ms = float(load.start_ms)
        while True:
            at_ms += self._rng.expovariate(load.per_s / MEAN_GROUP_SIZE / 1_000)
            if at_ms >= load.end_ms:
                return
            for _ in range(self._rng.randint(1, 2 * MEAN_GROUP_SIZE - 1)):
                delay_ms = int(at_ms) + self._rng.randrange(GROUP_SPAN_MS)
                self.timeline.call_later(delay_ms, lambda: self._call(load.kind))

    def _call(self, kind):
        scale = self._rng.lognormvariate(-0.08, 0.4)
        shared = self._rng.randrange(SHARED_PROMPTS)
        if self._hot_share and self._rng.random() < self._hot_share:
            shared = 0
        caller = Caller(self, kind, shared, scale)
        self.callers.append(caller)
        caller.call()

    def _record_start(self, kind_name):
        self._starts[kind_name].append(self.timeline.now_ms())

    def _record_arrival(self, kind_name):
        self._arrivals[kind_name].append(self.timeline.now_ms())

    def _drain(self, name):
        for gateway in self._gateways:
            entry = next(
                each.entry
                for each in gateway.parts.roster
                if each.entry.endpoint == name
            )
            gateway.parts.roster.apply(entry._replace(draining=True))

    def _observe(self):
        now_ms = self.timeline.now_ms()
        for gateway, demand in zip(self._gateways, self._demands, strict=True):
            streams = gateway.parts.roster.sensitive_streams()
            demand.observe(streams, len(self._gateways), now_ms)
            gateway.parts.shortages.instances = len(self._gateways)
        self.timeline.call_later(OBSERVE_INTERVAL_MS, self._observe)

    def _exchange_speeds(self):
        now_ms = self.timeline.now_ms()
        for view in self._views:
            exchange = self._speeds.get(view.own.instance)
            for message in exchange.tick(view, now_ms) if exchange else ():
                if message.instance in self._speeds:
                    self._speeds[message.instance].handle(
                        view.own.instance, message.message, now_ms
                    )
        self.timeline.call_later(OBSERVE_INTERVAL_MS, self._exchange_speeds)

    def _exchange_reports(self):
        now_ms = self.timeline.now_ms()
        for number, demand in enumerate(self._demands):
            other = self._rng.randrange(len(self._demands))
            if other == number:
                continue
            demand.record_reported(self._demands[other].advertised(now_ms), now_ms)
            reported = self._gateways[other].parts.shortages.advertised(now_ms)
            self._gateways[number].parts.shortages.record_reported(reported, now_ms)
        self.timeline.call_later(REPORT_INTERVAL_MS, self._exchange_reports)


def exceeds_guarantee(unserved, sent):
    """Return whether more requests were unserved than the guarantee permits."""
    return unserved >= MIN_UNSERVED and unserved > UNSERVED_SHARE * sent


def make_kind_route(kind):
    """Return the route of a kind of request."""
    return make_route(
        kind.name,
        RequestKind.STREAM,
        shares=(ServiceShare('pool', 1.0),),
        target_ms=kind.target_ms,
        gap_target_ms=kind.gap_target_ms,
        timeout_ms=kind.timeout_ms,
        tier=kind.tier,
        max_attempts=1,
    )


def usual_load(scale=1.0, end_ms=30_000, engines=5):
    """Return the usual load of some engines, multiplied by a factor."""
    factor = scale * engines / 5
    return [
        Load(CHAT, 5.5 * factor, 0, end_ms),
        Load(NOTE, 11.0 * factor, 0, end_ms),
        Load(SUMMARY, 15.5 * factor, 0, end_ms),
    ]


def make_engines(number, **fields):
    return [EngineKind(**fields)] * number
