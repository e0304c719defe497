# ruff: noqa: ARG002
"""Tests of the simulation and its checks with a simplified instance.

The instance implements the minimum that a simulation needs.  Each of its variants
violates one invariant on purpose, which the checks must detect.
"""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest

from savorychute.actions import (
    FinishResponse,
    OperatorReply,
    RefuseRequest,
    SendChunk,
    StartAttempt,
    StartResponse,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    CallerRequest,
    OperatorCommand,
)
from savorychute.membership.discovery_answer import DiscoveryAnswer
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.testing.invariants import find_violations
from savorychute.testing.profiles import PROFILES
from savorychute.testing.simulation import Simulation
from savorychute.testing.workload import Workload


class SimpleInstance:
    """Starts every request at once, alternating between endpoints."""

    ready = True
    idle = True

    def __init__(self, address, rng):
        self.address = address
        self.next_tick_ms = 0
        self.starts = {}
        self.count = 0
        state = SimpleNamespace(versions={})
        self._parts = SimpleNamespace(configuration=SimpleNamespace(state=state))

    def status(self, now_ms):
        return {'configuration_offset': 0}

    def discover(self, token):
        return DiscoveryAnswer((self.address,), 60_000)

    def issue_key(self, token, now_ms):
        return 'key'

    def tick(self, now_ms):
        self.next_tick_ms = now_ms + 1_000
        return []

    def deliver(self, message, now_ms):
        if isinstance(message, OperatorCommand):
            document = msgspec.json.encode({'accepted': False})
            return [OperatorReply(message.command_id, document)]
        if isinstance(message, CallerRequest):
            return self.start_request(message)
        if isinstance(message, AttemptChunk):
            return self.forward_chunk(message)
        if isinstance(message, AttemptEnded):
            return self.handle_end(message)
        if isinstance(message, AttemptFailed):
            return self.fail(message)
        return []

    def start_request(self, request):
        return [self.make_start(request)]

    def make_start(self, request, attempt=1):
        self.count += 1
        kind = 'desk' if request.service else 'engine'
        endpoint = f'{kind}-{self.count % 2 + 1}'
        start = StartAttempt(
            attempt_id=f'{request.request_id}-{attempt}',
            request_id=request.request_id,
            endpoint=endpoint,
            dialect='',
            host='',
            port=0,
            method=request.method,
            path=request.path,
            body=request.body,
            model=request.model,
            priority=0,
            stream=request.stream,
            stream_id=f's-{request.request_id}-{attempt}',
            resume_offset=-1,
            timeout_ms=60_000,
        )
        self.starts[start.attempt_id] = start
        return start

    def forward_chunk(self, chunk):
        start = self.starts[chunk.attempt_id]
        head = StartResponse(start.request_id, 200, '', '', '', '')
        body = SendChunk(start.request_id, chunk.offset, chunk.data)
        return [head, body] if chunk.offset == 0 else [body]

    def handle_end(self, ended):
        return [FinishResponse(self.starts[ended.attempt_id].request_id)]

    def fail(self, failed):
        request_id = self.starts[failed.attempt_id].request_id
        code = ResultCode.ENDPOINT_FAILED
        return [RefuseRequest(request_id, code, Ran.UNKNOWN, '')]


class FalseNotRunInstance(SimpleInstance):
    """Reports 'not run' for requests that have run."""

    def handle_end(self, ended):
        request_id = self.starts[ended.attempt_id].request_id
        return [RefuseRequest(request_id, ResultCode.OVERLOADED, Ran.NOT_RUN, '')]


class TruncatingInstance(SimpleInstance):
    """Reports a truncated answer as complete."""

    def forward_chunk(self, chunk):
        start = self.starts[chunk.attempt_id]
        if chunk.offset > 0 and start.stream:
            return []
        return super().forward_chunk(chunk)


class DuplicatingInstance(SimpleInstance):
    """Sends every request twice."""

    def start_request(self, request):
        return [self.make_start(request), self.make_start(request, 2)]


class UnresponsiveInstance(SimpleInstance):
    """Never reports the outcome to a caller."""

    def handle_end(self, ended):
        return []


def run_simulation(instance_class, seed=1, faults=()):
    def make(address, rng, epoch_offset_ms):
        return instance_class(address, rng)

    simulation = Simulation(PROFILES.get('small')(), seed, make)
    simulation.configure()
    workload = Workload(simulation, simulation.make_rng('load'))
    start_ms = simulation.heap.now_ms
    for call_class in simulation.topology.classes:
        workload.run_class(call_class, start_ms, start_ms + 4_000, lambda _: 2.0)
    for at_ms, fault in faults:
        simulation.heap.call_at(start_ms + at_ms, fault, simulation)
    simulation.run_for(30_000)
    return simulation


def broken_invariants(simulation):
    return {violation.promise for violation in find_violations(simulation)}


def summary(simulation):
    return [
        (call.call_id, call.outcome, call.first_token_ms, call.ended_ms)
        for call in simulation.callers.calls
    ]


def test_correct_instance_violates_no_invariant():
    simulation = run_simulation(SimpleInstance)
    assert len(simulation.callers.calls) > 20
    assert all(call.is_complete for call in simulation.callers.calls)
    assert broken_invariants(simulation) == set()


def test_same_seed_gives_the_same_run_and_another_seed_does_not():
    assert summary(run_simulation(SimpleInstance)) == summary(
        run_simulation(SimpleInstance)
    )
    assert summary(run_simulation(SimpleInstance)) != summary(
        run_simulation(SimpleInstance, seed=2)
    )


@pytest.mark.parametrize(
    'instance_class, promise',
    [
        (FalseNotRunInstance, 'not-run-is-true'),
        (TruncatingInstance, 'whole-and-own'),
        (DuplicatingInstance, 'at-most-once'),
        (UnresponsiveInstance, 'nothing-lost'),
    ],
)
def test_checks_detect_a_violated_invariant(instance_class, promise):
    assert promise in broken_invariants(run_simulation(instance_class))


def test_work_for_a_leaving_endpoint_is_detected():
    faults = [(0, lambda simulation: simulation.leave('engine-1'))]
    assert 'leaving-gets-nothing' in broken_invariants(
        run_simulation(SimpleInstance, faults=faults)
    )


def test_crash_of_an_engine_fails_only_its_own_calls():
    faults = [(2_000, lambda simulation: simulation.endpoints['engine-1'].crash())]
    simulation = run_simulation(SimpleInstance, faults=faults)
    codes = {call.code for call in simulation.callers.calls}
    assert ResultCode.ENDPOINT_FAILED in codes
    assert broken_invariants(simulation) == set()


def test_calls_of_a_crashed_instance_are_retried_at_others():
    faults = [(2_000, lambda simulation: simulation.instances['entry-01'].crash())]
    simulation = run_simulation(SimpleInstance, faults=faults)
    assert all(call.is_finished for call in simulation.callers.calls)
    late_calls = [call for call in simulation.callers.calls if call.started_ms > 12_000]
    assert all(call.is_complete for call in late_calls)
