# ruff: noqa: ARG002
"""The virtual-clock driver and its checks, with a simple instance in them.

The instance here does the least that a run needs.  Its variants each break one
promise on purpose, and the checks must see it.
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
from savorychute.testing.profiles import PROFILES
from savorychute.testing.promises import find_breaches
from savorychute.testing.workload import Workload
from savorychute.testing.world import World


class SimpleInstance:
    """Starts everything at once at the endpoints in turn."""

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
            answer = msgspec.json.encode({'accepted': False})
            return [OperatorReply(message.command_id, answer)]
        if isinstance(message, CallerRequest):
            return self.begin(message)
        if isinstance(message, AttemptChunk):
            return self.pass_chunk(message)
        if isinstance(message, AttemptEnded):
            return self.end(message)
        if isinstance(message, AttemptFailed):
            return self.fail(message)
        return []

    def begin(self, request):
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

    def pass_chunk(self, chunk):
        start = self.starts[chunk.attempt_id]
        head = StartResponse(start.request_id, 200, '', '', '', '')
        body = SendChunk(start.request_id, chunk.offset, chunk.data)
        return [head, body] if chunk.offset == 0 else [body]

    def end(self, ended):
        return [FinishResponse(self.starts[ended.attempt_id].request_id)]

    def fail(self, failed):
        request_id = self.starts[failed.attempt_id].request_id
        code = ResultCode.ENDPOINT_FAILED
        return [RefuseRequest(request_id, code, Ran.UNKNOWN, '')]


class Liar(SimpleInstance):
    """Says 'not run' of what has run."""

    def end(self, ended):
        request_id = self.starts[ended.attempt_id].request_id
        return [RefuseRequest(request_id, ResultCode.OVERLOADED, Ran.NOT_RUN, '')]


class Truncator(SimpleInstance):
    """Passes half an answer off as whole."""

    def pass_chunk(self, chunk):
        start = self.starts[chunk.attempt_id]
        if chunk.offset > 0 and start.stream:
            return []
        return super().pass_chunk(chunk)


class Repeater(SimpleInstance):
    """Sends everything twice."""

    def begin(self, request):
        return [self.make_start(request), self.make_start(request, 2)]


class Forgetter(SimpleInstance):
    """Never tells a caller how it ended."""

    def end(self, ended):
        return []


def run(instance_class, seed=1, faults=()):
    def make(address, rng, epoch_offset_ms):
        return instance_class(address, rng)

    world = World(PROFILES.get('small')(), seed, make)
    world.configure()
    workload = Workload(world, world.make_rng('load'))
    begin_ms = world.heap.now_ms
    for call_class in world.topology.classes:
        workload.run_class(call_class, begin_ms, begin_ms + 4_000, lambda _: 2.0)
    for at_ms, fault in faults:
        world.heap.call_at(begin_ms + at_ms, fault, world)
    world.run_for(30_000)
    return world


def broken(world):
    return {breach.promise for breach in find_breaches(world)}


def summary(world):
    return [
        (call.call_id, call.told, call.first_token_ms, call.ended_ms)
        for call in world.callers.calls
    ]


def test_honest_instance_breaks_nothing():
    world = run(SimpleInstance)
    assert len(world.callers.calls) > 20
    assert all(call.is_whole for call in world.callers.calls)
    assert broken(world) == set()


def test_same_seed_gives_the_same_run_and_another_seed_does_not():
    assert summary(run(SimpleInstance)) == summary(run(SimpleInstance))
    assert summary(run(SimpleInstance)) != summary(run(SimpleInstance, seed=2))


@pytest.mark.parametrize(
    'instance_class, promise',
    [
        (Liar, 'not-run-is-true'),
        (Truncator, 'whole-and-own'),
        (Repeater, 'at-most-once'),
        (Forgetter, 'nothing-lost'),
    ],
)
def test_checks_see_a_broken_promise(instance_class, promise):
    assert promise in broken(run(instance_class))


def test_work_for_a_leaving_endpoint_is_seen():
    faults = [(0, lambda world: world.leave('engine-1'))]
    assert 'leaving-gets-nothing' in broken(run(SimpleInstance, faults=faults))


def test_crash_of_an_engine_breaks_its_answers_only():
    faults = [(2_000, lambda world: world.endpoints['engine-1'].crash())]
    world = run(SimpleInstance, faults=faults)
    codes = {call.code for call in world.callers.calls}
    assert ResultCode.ENDPOINT_FAILED in codes
    assert broken(world) == set()


def test_calls_of_a_crashed_instance_go_elsewhere():
    faults = [(2_000, lambda world: world.instances['entry-01'].crash())]
    world = run(SimpleInstance, faults=faults)
    assert all(call.is_over for call in world.callers.calls)
    late = [call for call in world.callers.calls if call.begun_ms > 12_000]
    assert all(call.is_whole for call in late)
