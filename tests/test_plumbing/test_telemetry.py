"""Events of an instance are written as log lines and metrics."""

from __future__ import annotations

import hashlib
import io
import json

import pytest

from savorychute.configuration.applied_change import AppliedChange
from savorychute.events import EventManager
from savorychute.host_sample import HostSample
from savorychute.instance.request_outcome import RequestOutcome
from savorychute.logs import InstanceLog, LogLevel, open_log
from savorychute.membership.member_change import MemberChange
from savorychute.metrics import Metrics
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.telemetry import Telemetry

ANSWERED = RequestOutcome(
    request_id='q-1',
    organisation='malanadu',
    class_name='diagnosis',
    tier=0,
    pool='llama',
    code=ResultCode.OK,
    ran=Ran.RAN,
    first_token_ms=120,
    duration_ms=900,
    token_gap_ms=8.5,
    tokens=41,
    wasted_tokens=7,
    attempts=2,
    target_met=True,
    weight=2.0,
)
STATUS = {
    'configuration_offset': 17,
    'contracts': 2,
    'log_reachable': True,
    'requests_in_progress': 3,
    'members': 6,
    'suspects': 1,
    'endpoints': 9,
    'usable_endpoints': 8,
    'waiting_by_pool': {'llama': {'0': 4}},
}


@pytest.fixture
def events():
    return EventManager()


@pytest.fixture
def telemetry(events):
    file = io.BytesIO()
    telemetry = Telemetry(InstanceLog('a-1', LogLevel.DEBUG), Metrics('a-1'))
    telemetry.watch(events)
    with open_log(file):
        telemetry.read_lines = lambda: [
            json.loads(line) for line in file.getvalue().splitlines()
        ]
        yield telemetry


def read_metrics(telemetry):
    text = telemetry.render('').body.decode()
    rows = [line.rsplit(' ', 1) for line in text.splitlines() if line[0] != '#']
    return {name.removeprefix('savorychute_'): float(value) for name, value in rows}


def test_answered_request_is_logged_and_counted(events, telemetry):
    events.emit('request-finished', ANSWERED)
    [line] = telemetry.read_lines()
    assert line['request_id'] == 'q-1'
    assert (line['organisation'], line['code'], line['ran']) == ('malanadu', 0, 'ran')
    metrics = read_metrics(telemetry)
    labels = 'class="diagnosis",instance="a-1",organisation="malanadu"'
    assert metrics[f'goodput_total{{{labels}}}'] == 2
    tier = 'instance="a-1",tier="0"'
    assert metrics[f'attempts_total{{{tier}}}'] == 2
    assert metrics[f'wasted_tokens_total{{{tier}}}'] == 7
    assert metrics[f'token_gap_ms_count{{{tier}}}'] == 40
    assert metrics[f'token_gap_ms_sum{{{tier}}}'] == 340
    assert metrics[f'first_token_ms_sum{{{tier}}}'] == 120


def test_refused_request_gives_no_goodput_and_no_first_token(events, telemetry):
    refused = ANSWERED._replace(
        code=ResultCode.OVERLOADED,
        ran=Ran.NOT_RUN,
        first_token_ms=-1,
        tokens=0,
        attempts=0,
        target_met=False,
    )
    events.emit('request-finished', refused)
    metrics = read_metrics(telemetry)
    assert not any(name.startswith(('goodput', 'first_token')) for name in metrics)
    assert any('code="2001"' in name for name in metrics)


def test_stored_answer_counts_once_for_goodput(events, telemetry):
    """A caller loses the answer to a booking and retries with the same key.

    It gets the stored answer.  If that were counted again, lost connections would
    increase the goodput.
    """
    events.emit('request-finished', ANSWERED)
    events.emit('request-finished', ANSWERED._replace(attempts=0, tokens=0))
    metrics = read_metrics(telemetry)
    [goodput] = [value for name, value in metrics.items() if name.startswith('goodput')]
    assert goodput == 2


def test_token_of_a_new_contract_is_not_logged(events, telemetry):
    """A contract with a new token is applied while an instance runs.

    From then on, without a restart, the token must not appear in the log.
    """
    digest = hashlib.sha256(b'fresh-token').hexdigest()
    document = {'organisation': 'hooghly', 'token_hashes': [digest]}
    change = AppliedChange('contract:hooghly', 0, 1, document, 5, 'ravi')
    events.emit('configuration-applied', change)
    outcome = ANSWERED._replace(class_name='fresh-token')
    events.emit('request-finished', outcome)
    assert 'fresh-token' not in json.dumps(telemetry.read_lines())
    events.emit('configuration-applied', change._replace(document=None, to_version=2))
    events.emit('request-finished', outcome)
    assert telemetry.read_lines()[-1]['class_name'] == 'fresh-token'


def test_change_of_a_member_is_logged(events, telemetry):
    change = MemberChange('a-2', 7, 'alive', 'suspect', 'no answer to a probe', 90)
    events.emit('member-changed', change)
    [line] = telemetry.read_lines()
    assert (line['member'], line['to_state']) == ('a-2', 'suspect')
    assert 'probe' not in json.dumps(line)


def test_gauges_are_read_when_rendered(telemetry):
    status = dict(STATUS)
    telemetry.set_gauge_sources(lambda: status, lambda: HostSample(5, 4_096, 0, 2))
    metrics = read_metrics(telemetry)
    assert metrics['queued_requests{instance="a-1",pool="llama",tier="0"}'] == 4
    assert metrics['configuration_offset{instance="a-1"}'] == 17
    assert metrics['peer_rejected_total{instance="a-1"}'] == 2
    status['waiting_by_pool'] = {}
    assert not any('queued_requests' in name for name in read_metrics(telemetry))


def test_all_connected_events_exist(events, telemetry):
    connected = {name for name, calls in events._callbacks.items() if calls}
    assert len(connected) == 8
