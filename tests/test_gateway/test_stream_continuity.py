"""Tests that a request's stream goes on only at the version that began it."""

from __future__ import annotations

import pytest
from gateway_fakes import (
    KEY,
    MISDIRECTED,
    REJECTION,
    STREAM,
    FakeCaller,
    make_deployment,
    make_entry,
    make_gateway,
    make_prompt,
    make_request,
    make_route,
)

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.configuration.service_share import ServiceShare
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.requests.request_execution import RequestExecution
from savorychute.gateway.requests.stream_resumption import StreamResumption
from savorychute.gateway.streams.origin_finder import MAX_LOOKUP_MS
from savorychute.gateway.streams.origin_store import MarkedVersions
from savorychute.gateway.streams.origin_table import OWN
from savorychute.gateway.streams.stream_origin import StreamOrigin, make_stream_key
from savorychute.gateway.streams.version_marks import MAX_WAIT_MS, Mark
from savorychute.http.event_buffer import MAX_EVENT_BYTES
from savorychute.result_code import ResultCode

POOL = (ServiceShare('pool', 1.0),)
LIFETIME_MS = 24_000
STALL_MS = 2_500


def event(number):
    return f'id: {number}\ndata: x\n\n'.encode()


def set_versions(gateway, **versions):
    """List the engines with some versions, all of them marked; None for unknown."""
    for name, version in versions.items():
        entry = make_entry(name, 'pool', slots=64, software_version=version, sequence=2)
        gateway.parts.roster.record_end(EndpointRun(name))
        gateway.parts.roster._ended.clear()
        gateway.parts.roster.apply(entry)
        if version is not None:
            mark = Mark(StreamOrigin('pool', version), 2)
            gateway.parts.origins.marks.add(mark, gateway.clock.now_ms())


def begin_at(gateway, version):
    """Begin a stream at an engine of a version; return its caller."""
    set_versions(gateway, **dict.fromkeys(('e0', 'e1', 'e2'), version))
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1))
    return caller


def break_connection(gateway):
    gateway.last_attempt.break_connection()


def end_within_an_event(gateway):
    gateway.last_attempt.listener.response_data(b'id: 2\nda')
    gateway.last_attempt.listener.response_ended()


def send_endless_event(gateway):
    endless = b'id: 2\ndata: ' + b'x' * MAX_EVENT_BYTES
    gateway.last_attempt.listener.response_data(endless)


def end_run(gateway):
    record = gateway.parts.roster.get(gateway.last_attempt.endpoint)
    record.end_run()


def fall_silent(gateway):
    gateway.attempts.engines_alive = False
    gateway.advance(STALL_MS)


def lose_path(gateway):
    gateway.last_attempt.path_lost = True
    gateway.parts.roster.notify_path_lost(gateway.last_attempt.attempt.endpoint.address)
    gateway.advance(STALL_MS)


BREAKS = [
    break_connection,
    end_within_an_event,
    send_endless_event,
    end_run,
    fall_silent,
    lose_path,
]


@pytest.mark.parametrize('break_off', BREAKS)
def test_stream_goes_on_at_the_only_other_engine_of_its_version(gateway, break_off):
    """Guards against a way to another engine that looks at no version."""
    caller = begin_at(gateway, 'v1')
    first = gateway.last_attempt.endpoint
    others = sorted({'e0', 'e1', 'e2'} - {first})
    set_versions(gateway, **{others[0]: 'v2'})
    break_off(gateway)

    assert gateway.last_attempt.endpoint == others[1]
    gateway.last_attempt.respond(STREAM, event(2))
    assert caller.body == event(1) + event(2)


@pytest.mark.parametrize('break_off', BREAKS)
def test_stream_without_another_engine_of_its_version_is_cut(gateway, break_off):
    """Guards against a retry that is spent although no engine may go on."""
    caller = begin_at(gateway, 'v1')
    first = gateway.last_attempt.endpoint
    others = {'e0', 'e1', 'e2'} - {first}
    set_versions(gateway, **dict.fromkeys(others, 'v2'))
    before = gateway.parts.allowance.try_spend('pool', gateway.clock.now_ms())
    break_off(gateway)
    gateway.advance(STALL_MS * 8)

    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'
    after = gateway.parts.allowance.try_spend('pool', gateway.clock.now_ms())
    assert after.spent <= before.spent + 1


@pytest.mark.parametrize('response', [REJECTION, MISDIRECTED])
def test_rejected_resumption_is_not_sent_to_another_version(gateway, response):
    """Guards against a second way that opens once the first engine has said no."""
    caller = begin_at(gateway, 'v1')
    first = gateway.last_attempt.endpoint
    others = sorted({'e0', 'e1', 'e2'} - {first})
    set_versions(gateway, **{others[0]: 'v2'})
    break_connection(gateway)
    gateway.last_attempt.respond(response)

    assert [each.endpoint for each in gateway.attempts.sent] == [first, others[1]]
    assert caller.state == 'cut'


def test_request_without_an_event_may_go_to_any_version(gateway):
    """Guards against a restriction of streams of which nobody has anything."""
    set_versions(gateway, e0='v1', e1='v2', e2='v3')
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, b'id: 1\nda')
    break_connection(gateway)

    assert len(gateway.attempts.sent) == 2
    gateway.last_attempt.respond(STREAM, event(1))
    assert caller.body == event(1)


def test_stream_of_an_engine_of_unknown_version_does_not_go_on(gateway):
    """Guards against an unknown version that is taken for the same one."""
    set_versions(gateway, e0=None, e1=None, e2=None)
    gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.advance(MAX_WAIT_MS)
    gateway.parts.configuration.confirm(gateway.clock.now_ms())
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, event(1))
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    break_connection(gateway)
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_stream_whose_events_have_no_ids_does_not_go_on(gateway):
    """Guards against events that the caller gets twice."""
    _, caller = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.last_attempt.start_response(STREAM, b'data: x\n\n')
    break_connection(gateway)
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_stream_of_a_route_without_resumption_does_not_go_on():
    """Guards against a stream that is retried only because its route is idempotent."""
    route = make_route('feed', RequestKind.IDEMPOTENT, shares=POOL)
    gateway = make_gateway(deployment=make_deployment(routes=(route,)))
    _, caller = gateway.start('/feed/1')
    gateway.last_attempt.start_response(STREAM, event(1))
    break_connection(gateway)
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_origin_is_recorded_before_the_first_event_leaves(gateway):
    """Guards against an instance that is killed between the event and its record."""
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    request = make_request('/diagnosis/1', prompt=make_prompt(), attempt_id='a7')
    admitted = gateway.intake.admit(request, gateway.clock.now_ms())
    key = make_stream_key(admitted.organisation, 'a7')
    found = []

    class Caller(FakeCaller):
        def start(self, status, headers):
            super().start(status, headers)
            found.append(gateway.parts.origins.table.find(key, gateway.clock.now_ms()))

    RequestExecution(gateway.parts, request, admitted, Caller()).start()
    gateway.last_attempt.start_response(STREAM, b'id: 1\nda')
    assert gateway.parts.origins.table.find(key, gateway.clock.now_ms()) is None
    gateway.last_attempt.listener.response_data(b'ta: x\n\n')
    assert [known.origin for known in found] == [StreamOrigin('pool', 'v1')]


def test_new_version_begins_no_stream_before_it_is_marked(gateway):
    """Guards against a proof by marks that another instance has outrun."""
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    gateway.parts.roster.apply(make_entry('e3', 'pool', software_version='v2'))
    used = set()
    for number in range(20):
        gateway.start('/diagnosis/1', attempt_id=f'a{number}', prompt=make_prompt())
        used.add(gateway.last_attempt.endpoint)
    assert 'e3' not in used


def test_service_whose_versions_cannot_be_marked_is_served_after_a_while():
    """Guards against a service that is lost because the store takes no marks."""
    gateway = make_gateway(engines=0)
    gateway.parts.roster.apply(make_entry('e3', 'pool', software_version='v2'))
    _, refused = gateway.start('/diagnosis/1', prompt=make_prompt())
    gateway.advance(MAX_WAIT_MS)
    gateway.parts.configuration.confirm(gateway.clock.now_ms())
    gateway.start('/diagnosis/1', prompt=make_prompt())
    assert refused.refusal.code is ResultCode.NO_ENDPOINT
    assert gateway.last_attempt.endpoint == 'e3'


# -- streams that callers take up


def take_up(gateway, **fields):
    """Return what happens to a request that takes a stream up: admitted or refused."""
    fields = {'last_event': '4', 'resumed_attempt': 'a1', 'attempt_id': 'a2'} | fields
    request = make_request('/diagnosis/1', prompt=make_prompt(), **fields)
    admitted = gateway.intake.admit(request, gateway.clock.now_ms())
    outcomes = []

    def execute(admitted, origin):
        caller = FakeCaller()
        RequestExecution(gateway.parts, request, admitted, caller, origin).start()
        outcomes.append(caller)

    resumption = StreamResumption(
        gateway.parts, request, admitted, execute, outcomes.append
    )
    resumption.start()
    gateway.advance(MAX_LOOKUP_MS)
    return outcomes[0]


def record(gateway, version, organisation='kochi', service='pool', attempt='a1'):
    key = make_stream_key(organisation, attempt)
    origin = StreamOrigin(service, version)
    now_ms = gateway.clock.now_ms()
    gateway.parts.origins.table.record(key, origin, OWN, LIFETIME_MS, now_ms)


def test_taken_up_stream_goes_on_at_its_version(gateway):
    set_versions(gateway, e0='v1', e1='v2', e2='v3')
    record(gateway, 'v2')
    caller = take_up(gateway)
    assert gateway.last_attempt.endpoint == 'e1'
    assert gateway.last_attempt.attempt.last_event == '4'
    gateway.last_attempt.respond(STREAM, event(5))
    assert caller.body == event(5)


def test_taken_up_stream_that_breaks_again_stays_at_its_version(gateway):
    """Guards against a caller that goes on naming the first attempt."""
    set_versions(gateway, e0='v1', e1='v2', e2='v3')
    record(gateway, 'v2')
    caller = take_up(gateway)
    gateway.last_attempt.start_response(STREAM, event(5))
    gateway.advance(LIFETIME_MS // 2)
    key = make_stream_key('kochi', 'a1')
    assert gateway.parts.origins.table.find(key, gateway.clock.now_ms()) is not None
    break_connection(gateway)
    assert len(gateway.attempts.sent) == 1
    assert caller.state == 'cut'


def test_resumption_extends_the_record_of_the_first_attempt(gateway):
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    record(gateway, 'v1')
    key = make_stream_key('kochi', 'a1')
    gateway.advance(1_000)
    take_up(gateway)
    gateway.last_attempt.start_response(STREAM, event(5))
    after = gateway.parts.origins.table.find(key, gateway.clock.now_ms())
    assert after.until_ms == gateway.clock.now_ms() + LIFETIME_MS


def test_stream_of_an_unknown_version_is_refused_as_not_run(gateway):
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    refusal = take_up(gateway)
    assert refusal.code is ResultCode.STREAM_ORIGIN_UNKNOWN
    assert refusal.ran.value == 'not-run'
    assert refusal.retry_after_ms > 0
    assert gateway.attempts.sent == []


def test_stream_of_a_version_that_is_gone_is_refused_as_not_run(gateway):
    set_versions(gateway, e0='v2', e1='v2', e2='v2')
    record(gateway, 'v1')
    refusal = take_up(gateway)
    assert refusal.code is ResultCode.STREAM_VERSION_GONE
    assert gateway.attempts.sent == []


def test_stream_of_another_organisation_is_unknown(gateway):
    """Guards against a caller that names an attempt of another organisation."""
    set_versions(gateway, e0='v1', e1='v2', e2='v2')
    record(gateway, 'v1', organisation='thrissur')
    assert take_up(gateway).code is ResultCode.STREAM_ORIGIN_UNKNOWN


@pytest.mark.parametrize('resumed_attempt', ['', 'made-up', 'x' * 10_000])
def test_name_that_nobody_has_recorded_is_refused(gateway, resumed_attempt):
    set_versions(gateway, e0='v1', e1='v2', e2='v2')
    record(gateway, 'v1')
    refusal = take_up(gateway, resumed_attempt=resumed_attempt)
    assert refusal.code is ResultCode.STREAM_ORIGIN_UNKNOWN


def test_any_name_goes_on_if_the_service_has_one_version(gateway):
    """Guards against refusals at a service where no version can be wrong."""
    set_versions(gateway, e0='v1', e1='v1', e2='v1')
    origins = frozenset({StreamOrigin('pool', 'v1')})
    gateway.parts.origins.finder._store.marks = MarkedVersions(origins, True)
    caller = take_up(gateway, resumed_attempt='')
    gateway.last_attempt.respond(STREAM, event(5))
    assert caller.body == event(5)


def test_unknown_stream_of_a_route_with_several_services_is_refused():
    """Guards against a proof for the one service that the request happened to get."""
    shares = (ServiceShare('desk', 1.0), ServiceShare('pool', 1.0))
    route = make_route('feed', RequestKind.STREAM, shares=shares, resumable=True)
    gateway = make_gateway(deployment=make_deployment(routes=(route,)))
    origins = frozenset({StreamOrigin('desk', ''), StreamOrigin('pool', '')})
    gateway.parts.origins.finder._store.marks = MarkedVersions(origins, True)
    request = make_request('/feed/1', last_event='4', resumed_attempt='a1', key=KEY)
    admitted = gateway.intake.admit(request, gateway.clock.now_ms())
    refusals = []
    StreamResumption(
        gateway.parts, request, admitted, lambda *_: None, refusals.append
    ).start()
    gateway.advance(MAX_LOOKUP_MS)
    assert refusals[0].code is ResultCode.STREAM_ORIGIN_UNKNOWN


def test_stream_goes_on_at_its_service_if_a_route_has_several():
    """Guards against equal versions of two services that are taken for one."""
    shares = (ServiceShare('desk', 9.0), ServiceShare('pool', 1.0))
    route = make_route('feed', RequestKind.STREAM, shares=shares, resumable=True)
    gateway = make_gateway(deployment=make_deployment(routes=(route,)))
    record(gateway, '')
    request = make_request(
        '/feed/1', last_event='4', resumed_attempt='a1', attempt_id='a2', key=KEY
    )
    for _ in range(10):
        admitted = gateway.intake.admit(request, gateway.clock.now_ms())
        services = []
        resumption = StreamResumption(
            gateway.parts,
            request,
            admitted,
            lambda admitted, _, services=services: services.append(admitted.service),
            services.append,
        )
        resumption.start()
        assert services[0].name == 'pool'


def test_stream_whose_route_has_left_its_service_is_refused():
    """Guards against the pieces of two services in one stream."""
    route = make_route('feed', RequestKind.STREAM, resumable=True)
    gateway = make_gateway(deployment=make_deployment(routes=(route,)))
    record(gateway, '')
    request = make_request(
        '/feed/1', last_event='4', resumed_attempt='a1', attempt_id='a2', key=KEY
    )
    admitted = gateway.intake.admit(request, gateway.clock.now_ms())
    refusals = []
    StreamResumption(
        gateway.parts, request, admitted, lambda *_: None, refusals.append
    ).start()
    assert refusals[0].reason == 'service-gone'
