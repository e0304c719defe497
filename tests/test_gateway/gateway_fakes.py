"""Fake ports of a gateway that tests control."""

from __future__ import annotations

import random
from typing import NamedTuple

from savorychute.clock import ManualClock
from savorychute.gateway.admission.competition import Competition
from savorychute.gateway.configuration.caller_limits import CallerLimits
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.configuration.deployment import Deployment
from savorychute.gateway.configuration.organisation import Organisation
from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.configuration.route import Route
from savorychute.gateway.configuration.service import Service
from savorychute.gateway.configuration.service_share import ServiceShare
from savorychute.gateway.dispatch import load_choosers
from savorychute.gateway.dispatch.chooser import CHOOSERS
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.finish_forecast import FinishForecast
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.dispatch.wait_forecast import WaitForecast
from savorychute.gateway.duties.true_time import TrueTime
from savorychute.gateway.duties.usage_counter import UsageCounter
from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.endpoints.load_monitor import LoadMonitor
from savorychute.gateway.endpoints.statement_table import StatementTable
from savorychute.gateway.engine_telemetry import EngineTelemetry
from savorychute.gateway.engines.shared_speeds import SharedSpeeds
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.moves.departures import Departures
from savorychute.gateway.moves.move_telemetry import MoveTelemetry
from savorychute.gateway.parts import GatewayParts
from savorychute.gateway.paths.path_table import PathTable
from savorychute.gateway.permits.permit_handler import PermitHandler
from savorychute.gateway.recovery.crash_guard import CrashGuard
from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds
from savorychute.gateway.requests.endpoint_response import (
    EndpointResponse,
    ResponseKind,
)
from savorychute.gateway.requests.inbound_request import InboundRequest
from savorychute.gateway.requests.intake import Intake
from savorychute.gateway.requests.prompt import Prompt, PromptPart
from savorychute.gateway.requests.request_execution import RequestExecution
from savorychute.gateway.requests.response_memory import ResponseMemory
from savorychute.gateway.stream_telemetry import StreamTelemetry
from savorychute.gateway.streams.stream_origin import StreamOrigin
from savorychute.gateway.streams.stream_origins import StreamOrigins
from savorychute.gateway.streams.version_marks import Mark
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.http.call_failure import CallFailure
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.logs import InstanceLog
from savorychute.metrics import Metrics

IDLE = EngineLoad(waiting=0, prefilling=0, generating=0, next_tokens=0)
START_MS = 1_000_000
DRAIN_NOTICE_MS = 2_000
LIMITS = CallerLimits(16_384, 1 << 22, 3_000, 15_000)
KEY = 'kochi-key'
PROOF = (('server-signature', 'proof'),)
SUCCESS = EndpointResponse(ResponseKind.SUCCESS, 200, PROOF, is_stream=False)
STREAM = EndpointResponse(ResponseKind.SUCCESS, 200, PROOF, is_stream=True)
FAILURE = EndpointResponse(ResponseKind.FAILURE, 500, PROOF, is_stream=False)
REJECTION = EndpointResponse(ResponseKind.NOT_RUN, 503, (), is_stream=False)
MISDIRECTED = EndpointResponse(ResponseKind.OTHER_ENDPOINT, 421, (), is_stream=False)
FOREIGN = EndpointResponse(ResponseKind.FOREIGN, 200, PROOF, is_stream=False)


class FakeTimer:
    """A timer that expires when the test advances the clock."""

    def __init__(self, due_ms, callback):
        self.due_ms = due_ms
        self.callback = callback

    def cancel(self):
        self.callback = None


class FakeTimers:
    """Timers on a manual clock, expired in order of time."""

    def __init__(self, clock):
        self._clock = clock
        self._timers = []

    def call_later(self, delay_ms, callback):
        timer = FakeTimer(self._clock.now_ms() + delay_ms, callback)
        self._timers.append(timer)
        return timer

    def advance(self, duration_ms):
        """Advance the clock and run the callback of each expired timer at its time."""
        end_ms = self._clock.now_ms() + duration_ms
        while True:
            self._timers = [each for each in self._timers if each.callback]
            due = [each for each in self._timers if each.due_ms <= end_ms]
            if not due:
                break
            timer = min(due, key=lambda each: each.due_ms)
            self._clock.advance_to(timer.due_ms)
            callback, timer.callback = timer.callback, None
            callback()
        self._clock.advance_to(end_ms)


class FakeAttempt:
    """An attempt whose response the test supplies."""

    path_lost = False
    via = ''
    connection_number = 0
    calls_before = 0

    def __init__(self, attempt, listener):
        self.attempt = attempt
        self.listener = listener
        self.cancelled = False
        self.paused = False

    @property
    def endpoint(self):
        return self.attempt.endpoint.endpoint

    def cancel(self):
        self.cancelled = True

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def mark_sent(self):
        """Report that the request is about to be sent."""
        assert self.listener.can_send()

    def respond(self, head, body=b''):
        """Send a complete response."""
        self.mark_sent()
        self.listener.response_started(head)
        if body:
            self.listener.response_data(body)
        self.listener.response_ended()

    def start_response(self, head, body=b''):
        """Start a response without ending it."""
        self.mark_sent()
        self.listener.response_started(head)
        if body:
            self.listener.response_data(body)

    def break_connection(self, sent=True):
        """Fail with a connection reset."""
        self.listener.attempt_failed(CallFailure(sent, sent, 'reset'))


class FakeCopy(NamedTuple):
    """A copy that was ordered, whose result the test supplies."""

    endpoint: str
    order: object
    finish: object


class FakeAttempts:
    """Records the attempts, copies and probes that are sent."""

    def __init__(self):
        self.copies = []
        self.released = []
        self.sent = []
        self.probes = []
        self.checked_paths = []
        # What to call when a checked endpoint turns out to be unreachable.
        self.unreachable = {}
        self.engines_alive = True
        self.loads = {}
        self.defers_probes = False
        self._deferred = []

    def send(self, attempt, listener):
        self.sent.append(FakeAttempt(attempt, listener))
        return self.sent[-1]

    def probe(self, endpoint, on_result, permit=None):
        del permit
        self.probes.append(endpoint.endpoint)
        if self.defers_probes:
            self._deferred.append(on_result)
        else:
            load = self.loads.get(endpoint.endpoint, IDLE)
            on_result(load if self.engines_alive else None)

    def copy(self, endpoint, order, timeout_ms, on_result, permit=None):
        del timeout_ms, permit
        self.copies.append(FakeCopy(endpoint.endpoint, order, on_result))

    def release(self, endpoint, handle, permit=None):
        del permit
        self.released.append((endpoint.endpoint, handle))

    def check_path(self, endpoint, on_unreachable=None):
        self.checked_paths.append(endpoint.endpoint)
        if on_unreachable is not None:
            self.unreachable[endpoint.endpoint] = on_unreachable

    def complete_probes(self, load=IDLE):
        """Respond to the deferred probes."""
        deferred, self._deferred = self._deferred, []
        self.defers_probes = False
        for on_result in deferred:
            on_result(load)


class FakeCaller:
    """Records the response that the caller receives."""

    def __init__(self):
        self.status = None
        self.body = b''
        self.state = 'waiting'
        self.refusal = None

    def respond(self, status, headers, body):
        del headers
        self.status, self.body, self.state = status, body, 'whole'

    def start(self, status, headers):
        del headers
        self.status, self.state = status, 'begun'

    def send(self, data):
        self.body += data

    def finish(self):
        self.state = 'whole'

    def abort(self):
        self.state = 'cut'

    def refuse(self, refusal):
        self.refusal = refusal
        self.status, self.state = refusal.code.status, 'refused'


class FakeOriginStore:
    """Responds at once with marks that a test sets; None for a failing store."""

    def __init__(self, marks=None):
        self.marks = marks

    def list_marks(self, on_done):
        on_done(self.marks)

    def read_records(self, on_done):
        on_done(self.marks is not None)


class GatewayFixture(NamedTuple):
    """A gateway with its fake ports."""

    parts: GatewayParts
    clock: ManualClock
    timers: FakeTimers
    attempts: FakeAttempts
    intake: Intake

    def advance(self, duration_ms):
        self.timers.advance(duration_ms)

    def admit(self, path='/visit/1', key=KEY, **fields):
        """Return the result of the admission of a request."""
        request = make_request(path, key, **fields)
        return self.intake.admit(request, self.clock.now_ms())

    def start(self, path='/visit/1', **fields):
        """Admit and start a request; return its execution and its caller."""
        request = make_request(path, **fields)
        admitted = self.intake.admit(request, self.clock.now_ms())
        caller = FakeCaller()
        execution = RequestExecution(self.parts, request, admitted, caller)
        execution.start()
        return execution, caller

    @property
    def last_attempt(self):
        """The most recent attempt."""
        return self.attempts.sent[-1]


def make_route(name, kind, **fields):
    values = {
        'name': name,
        'host': 'desk.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 3_000,
        'target_ms': 300,
        'gap_target_ms': 0,
        'tier': 2,
        'shares': (ServiceShare('desk', 1.0),),
        'max_attempts': 2,
        'public': False,
        'resumable': False,
    }
    return Route(**(values | fields))


POOL = (ServiceShare('pool', 1.0),)
ROUTES = (
    make_route('visit', RequestKind.IDEMPOTENT),
    make_route('parts', RequestKind.NON_IDEMPOTENT, max_attempts=1),
    make_route(
        'diagnosis',
        RequestKind.STREAM,
        shares=POOL,
        target_ms=1_500,
        timeout_ms=12_000,
        gap_target_ms=250,
        tier=0,
        resumable=True,
    ),
    make_route(
        'draft',
        RequestKind.STREAM,
        shares=POOL,
        target_ms=1_500,
        timeout_ms=6_000,
        gap_target_ms=400,
        max_attempts=1,
    ),
    make_route('open', RequestKind.IDEMPOTENT, public=True),
)


def make_deployment(version=1, routes=ROUTES, organisations=None):
    if organisations is None:
        organisations = (Organisation('kochi', (KEY,)),)
    services = (
        Service('desk', False),
        Service('pool', True),
    )
    return Deployment(version, routes, services, organisations, LIMITS)


def make_entry(endpoint, service='desk', **fields):
    values = {
        'endpoint': endpoint,
        'service': service,
        'address': ServerAddress('10.0.0.9', 8000),
        'failure_domain': 'hall',
        'slots': 6,
        'draining': False,
        'sequence': 1,
    }
    return EndpointEntry(**(values | fields))


def make_request(path='/visit/1', key=KEY, **fields):
    method = fields.pop('method', 'GET')
    body = fields.pop('body', b'')
    values = {
        'attempt_id': 'a1',
        'host': 'desk.example',
        'path': path,
        'key': key,
        'deadline_ms': None,
        'last_event': '',
        'resumed_attempt': '',
        'prompt': None,
        'raw': HttpRequest(method, path, (), body),
    }
    return InboundRequest(**(values | fields))


def make_prompt(affinity='p', shared=13_000, own=4_000, answer=100):
    parts = (PromptPart(affinity, shared), PromptPart('own', own))
    return Prompt('m', shared + own, answer, parts)


class FixedWallClock:
    """A wall clock that always returns 0."""

    def wall_ms(self):
        return 0


def make_telemetry(clock):
    metrics = Metrics('kochi-1', GATEWAY_METRICS)
    return GatewayTelemetry(InstanceLog('kochi-1'), metrics, clock)


def make_allowance(slack):
    """Return the retry allowance of a run that started one window ago."""
    bounds = RetryBounds(0.2, 10_000, slack)
    allowance = RetryAllowance(bounds, START_MS - bounds.window_ms)
    allowance.inherit(None)
    allowance.cap.mark_stored()
    return allowance


def ignore_limit(run, limit_per_s):
    """Ignore a change of a limit."""
    del run, limit_per_s


def make_gateway(
    desks=3,
    engines=3,
    seed=5,
    slack=50,
    *,
    slots=None,
    clock=None,
    timers=None,
    attempts=None,
    demand=None,
    deployment=None,
    instance='kochi-1',
    speeds=None,
    competes=False,
):
    """Return a gateway; components that several gateways share may be passed in.

    *desks* is the number of endpoints of the plain service.  *slots* gives the number of
    slots of each engine, instead of *engines* engines with 64 slots each.  *competes*
    is false for load limits alone, without the rules for requests that compete.
    """
    clock = clock or ManualClock(START_MS)
    timers = timers or FakeTimers(clock)
    attempts = attempts or FakeAttempts()
    slots = (64,) * engines if slots is None else slots
    rng = random.Random(seed)
    load_choosers()
    configuration = ConfigurationState(key_trust_ms=4_500, fresh_ms=3_000)
    configuration.apply(deployment or make_deployment())
    configuration.confirm(clock.now_ms())
    crashes = CrashGuard(clock.now_ms())
    crashes.inform()
    models = EngineModels()
    shortages = Shortages()
    telemetry = make_telemetry(clock)
    endpoint_telemetry = EndpointTelemetry(telemetry)
    statements = StatementTable(endpoint_telemetry)
    permits = PermitHandler(statements.limits, clock, timers)
    roster = EndpointRoster(crashes.endpoint_ended, clock, statements.leaving)
    moves = Departures(MoveTelemetry(telemetry), DRAIN_NOTICE_MS, clock, rng)
    statements.leaving.on_recorded = roster.on_draining = moves.engine_leaves
    for number in range(desks):
        roster.apply(make_entry(f'd{number}'))
    for number, engine_slots in enumerate(slots):
        roster.apply(make_entry(f'e{number}', 'pool', slots=engine_slots))
    shared_speeds = SharedSpeeds(instance, roster.list_runs, EngineTelemetry(telemetry))
    speeds = PlacementSpeeds(speeds)
    parts = GatewayParts(
        clock=clock,
        timers=timers,
        attempts=attempts,
        configuration=configuration,
        roster=roster,
        model_chooser=CHOOSERS.get('prompt-cache')('hall', rng, demand, models, speeds),
        service_chooser=CHOOSERS.get('least-outstanding')('hall', rng),
        guard=OverloadGuard(
            rng, shortages, Competition(rng, shortages) if competes else None
        ),
        shortages=shortages,
        engines=models,
        finish=FinishForecast(
            WaitForecast('hall', rng, models, speeds), models, speeds
        ),
        speeds=shared_speeds,
        loads=LoadMonitor(attempts, roster, statements, permits, clock),
        statements=statements,
        permits=permits,
        allowance=make_allowance(slack),
        crashes=crashes,
        paths=PathTable(),
        origins=StreamOrigins(FakeOriginStore(), clock, timers),
        response_memory=ResponseMemory(1 << 20),
        moves=moves,
        usage=UsageCounter(None, TrueTime(clock, FixedWallClock())),
        telemetry=telemetry,
        endpoint_telemetry=endpoint_telemetry,
        stream_telemetry=StreamTelemetry(telemetry),
    )
    parts.allowance.instances = 1
    # The store holds a mark of an earlier run for the version of the engines.
    mark = Mark(StreamOrigin('pool', ''), 1)
    parts.origins.marks.add(mark, clock.now_ms())
    intake = Intake(configuration, parts.crashes, rng)
    return GatewayFixture(parts, clock, timers, attempts, intake)
