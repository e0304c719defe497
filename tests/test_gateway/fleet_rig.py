"""Instances before engines on virtual time, and callers whose requests are followed."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import NamedTuple

from engine_rig import NETWORK_MS, EngineKind, SimulatedEngine, Timeline
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
from savorychute.gateway.dispatch.lane_demand import LaneDemand
from savorychute.gateway.requests.request_execution import RequestExecution

# What instances tell each other, and how often: each hears one other in this time.
HEARD_MS = 250
OBSERVED_MS = 100
# A stream's caller leaves after a pause of this length.
PATIENCE_MS = 2_000
TRIES = 2
# Callers come in groups: the mean size of one, and within what time they call.
GROUP = 4
GROUP_MS = 150
# Different shared prompts of each kind, of which an engine has read a part.
SHARED_PROMPTS = 100
# A caller comes back within this part of the time that it has left.
RETURN_SHARE = 1 / 3
# The promise between tiers: in any five seconds, where ten requests or more of a kind, and
# over a twelfth of it, get nothing, none that is less urgent begins.
WINDOW_MS = 5_000
LEAST_UNSERVED = 10
UNSERVED_SHARE = 1 / 12
# How long after such a loss instances may send what is less urgent: until all have heard.
REACTION_MS = 1_000
LOOK_MS = 250


class Kind(NamedTuple):
    """A kind of request: its prompt, its answer, and what is on time."""

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
    """Requests of a kind a second, from one time to another."""

    kind: Kind
    per_s: float
    from_ms: int
    until_ms: int


class Breach(NamedTuple):
    """Five seconds in which a kind got nothing while a less urgent one began."""

    from_ms: int
    kind: str
    sent: int
    unserved: int
    begun: int


class SimulatedAttempts:
    """Carries attempts of one instance to engines."""

    def __init__(self, timeline, engines):
        self._timeline = timeline
        self._engines = engines

    def send(self, attempt, listener):
        return Carried(self._timeline, self._engines, attempt, listener)

    def probe(self, endpoint, on_result, permit=None):
        del permit
        engine = self._engines[endpoint.endpoint]
        self._timeline.call_later(2 * NETWORK_MS, lambda: on_result(engine.report()))


class Carried:
    """An attempt on its way, or at its engine."""

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
            self._job = self._engine.take(self._outbound, self._listener)


class Caller(FakeCaller):
    """Waits for one request, leaves after a long pause, and comes back once.

    :param fleet: that it calls.
    :param kind: of the request.
    :param shared: the number of its shared prompt.
    :param scale: size of its own part and its answer, 1 for the usual.
    """

    def __init__(self, fleet, kind, shared, scale):
        super().__init__()
        self.kind = kind
        self.sent_ms = fleet.timeline.now_ms()
        self.served = False
        self.ended_ms = None
        self._fleet = fleet
        self._shared = shared
        self._scale = scale
        self._tries = 0
        self._course = None
        self._heard_ms = self.sent_ms

    def call(self):
        """Send the request to an instance."""
        self._tries += 1
        self._heard_ms = self._fleet.timeline.now_ms()
        kind = self.kind
        prompt = make_prompt(
            f'{kind.name}-{self._shared}',
            kind.shared,
            max(1, int(kind.own * self._scale)),
            max(1, int(kind.answer * self._scale)),
        )
        left_ms = self.sent_ms + kind.timeout_ms - self._heard_ms
        self._course = self._fleet.start(kind, prompt, left_ms, self)
        self._watch()

    def send(self, data):
        del data
        self._heard_ms = self._fleet.timeline.now_ms()

    def finish(self):
        self.served = True
        self._end()

    def abort(self):
        self._end()

    def refuse(self, refusal):
        timeline = self._fleet.timeline
        left_ms = self.sent_ms + self.kind.timeout_ms - timeline.now_ms()
        if self._tries < TRIES and left_ms > 0:
            delay_ms = min(refusal.retry_after_ms, left_ms * RETURN_SHARE)
            timeline.call_later(delay_ms, self.call)
        else:
            self._end()

    def _end(self):
        self.ended_ms = self._fleet.timeline.now_ms()

    def _watch(self):
        self._fleet.timeline.call_later(PATIENCE_MS / 10, self._look)

    def _look(self):
        course = self._course
        if course is None or course.finished:
            return
        if self._fleet.timeline.now_ms() - self._heard_ms > PATIENCE_MS:
            course.caller_left()
            self._end()
            return
        self._watch()


class Fleet:
    """Instances, engines and callers.

    :param instances: how many instances there are.
    :param engines: what each engine can do.
    :param loads: what callers ask for.
    :param seed: of all chance.
    """

    def __init__(self, instances, engines, loads, seed):
        clock = ManualClock(START_MS)
        self.timeline = Timeline(clock)
        self.callers = []
        self._rng = random.Random(seed)
        self._begun = defaultdict(list)
        self._taken = defaultdict(list)
        self._engines = {
            f'e{number}': SimulatedEngine(
                self.timeline, kind, self._note_taken, self._note_begun
            )
            for number, kind in enumerate(engines)
        }
        self._demands = [LaneDemand() for _ in range(instances)]
        deployment = make_deployment(routes=tuple(map(_route, KINDS)))
        self._scenes = [
            make_gateway(
                desks=0,
                slots=tuple(kind.slots for kind in engines),
                seed=f'{seed}-{number}',
                clock=clock,
                timers=self.timeline,
                attempts=SimulatedAttempts(self.timeline, self._engines),
                demand=demand,
                deployment=deployment,
            )
            for number, demand in enumerate(self._demands)
        ]
        for load in loads:
            self._schedule(load)
        self._observe()
        self._hear()

    def play(self, duration_ms):
        """Let callers come for some time, and answer those that are there."""
        self.timeline.run_until(START_MS + duration_ms)
        return self

    def end_engine(self, name, at_ms):
        """Take an engine away: it finishes what it has, and gets nothing new."""
        self.timeline.call_later(at_ms, lambda: self._drain(name))

    def start(self, kind, prompt, left_ms, caller):
        """Give a request to one of the instances; return its course."""
        scene = self._rng.choice(self._scenes)
        scene.parts.configuration.confirm(self.timeline.now_ms())
        request = make_request(
            f'/{kind.name}/1', KEY, method='POST', prompt=prompt, deadline_ms=left_ms
        )
        admitted = scene.intake.admit(request, self.timeline.now_ms())
        course = RequestExecution(scene.parts, request, admitted, caller)
        course.start()
        return course

    def served_share(self, kind):
        """Return the part of a kind's requests that were served."""
        served = [caller.served for caller in self.callers if caller.kind is kind]
        return sum(served) / len(served) if served else 1.0

    def breaches(self, end_ms):
        """Return the spans in which the promise between tiers was broken."""
        found = []
        for from_ms in range(0, end_ms - WINDOW_MS + 1, 500):
            for kind in KINDS[:-1]:
                breach = self._breach(kind, from_ms)
                if breach is not None:
                    found.append(breach)
        return found

    def not_held_back(self, end_ms):
        """Return the times of requests sent to engines while a tier above got nothing."""
        found = []
        for at_ms in range(REACTION_MS, end_ms, LOOK_MS):
            for kind in KINDS[:-1]:
                before_ms = at_ms - REACTION_MS
                if self._is_short(kind, before_ms) and self._is_short(kind, at_ms):
                    found.extend(self._taken_below(kind, at_ms))
        return found

    def _is_short(self, kind, at_ms):
        """Return whether a kind is known to have got nothing in the last five seconds."""
        ended = [
            caller.served
            for caller in self.callers
            if caller.kind is kind
            and caller.ended_ms is not None
            and at_ms - WINDOW_MS < caller.ended_ms - START_MS <= at_ms
        ]
        return is_too_many(len(ended) - sum(ended), len(ended))

    def _taken_below(self, kind, from_ms):
        return [
            (each.name, taken_ms - START_MS)
            for each in KINDS
            if each.tier > kind.tier
            for taken_ms in self._taken[each.name]
            if from_ms <= taken_ms - START_MS < from_ms + LOOK_MS
        ]

    def _breach(self, kind, from_ms):
        until_ms = from_ms + WINDOW_MS
        sent = [
            caller
            for caller in self.callers
            if caller.kind is kind and from_ms <= caller.sent_ms - START_MS < until_ms
        ]
        unserved = sum(not caller.served for caller in sent)
        if not is_too_many(unserved, len(sent)):
            return None
        lower = [each for each in KINDS if each.tier > kind.tier]
        begun = sum(
            from_ms <= begun_ms - START_MS < until_ms
            for each in lower
            for begun_ms in self._begun[each.name]
        )
        return Breach(from_ms, kind.name, len(sent), unserved, begun) if begun else None

    def _schedule(self, load):
        at_ms = float(load.from_ms)
        while True:
            at_ms += self._rng.expovariate(load.per_s / GROUP / 1_000)
            if at_ms >= load.until_ms:
                return
            for _ in range(self._rng.randint(1, 2 * GROUP - 1)):
                delay_ms = int(at_ms) + self._rng.randrange(GROUP_MS)
                self.timeline.call_later(delay_ms, lambda: self._call(load.kind))

    def _call(self, kind):
        scale = self._rng.lognormvariate(-0.08, 0.4)
        caller = Caller(self, kind, self._rng.randrange(SHARED_PROMPTS), scale)
        self.callers.append(caller)
        caller.call()

    def _note_begun(self, kind_name):
        self._begun[kind_name].append(self.timeline.now_ms())

    def _note_taken(self, kind_name):
        self._taken[kind_name].append(self.timeline.now_ms())

    def _drain(self, name):
        for scene in self._scenes:
            entry = next(
                each.entry for each in scene.parts.roster if each.entry.endpoint == name
            )
            scene.parts.roster.apply(entry._replace(draining=True))

    def _observe(self):
        now_ms = self.timeline.now_ms()
        for scene, demand in zip(self._scenes, self._demands, strict=True):
            streams = scene.parts.roster.steady_streams()
            demand.observe(streams, len(self._scenes), now_ms)
            scene.parts.shortages.instances = len(self._scenes)
        self.timeline.call_later(OBSERVED_MS, self._observe)

    def _hear(self):
        now_ms = self.timeline.now_ms()
        for number, demand in enumerate(self._demands):
            other = self._rng.randrange(len(self._demands))
            if other == number:
                continue
            demand.hear(self._demands[other].advertised(now_ms), now_ms)
            said = self._scenes[other].parts.shortages.advertised(now_ms)
            self._scenes[number].parts.shortages.hear(said, now_ms)
        self.timeline.call_later(HEARD_MS, self._hear)


def is_too_many(unserved, sent):
    """Return whether more get nothing than the promise between tiers allows."""
    return unserved >= LEAST_UNSERVED and unserved > UNSERVED_SHARE * sent


def _route(kind):
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


def usual(scale=1.0, until_ms=30_000, engines=5):
    """Return what callers usually ask of some engines, times a factor."""
    each = scale * engines / 5
    return [
        Load(CHAT, 5.5 * each, 0, until_ms),
        Load(NOTE, 11.0 * each, 0, until_ms),
        Load(SUMMARY, 15.5 * each, 0, until_ms),
    ]


def make_engines(number, **fields):
    return [EngineKind(**fields)] * number
