"""Tests that the log tells the causes of a refused request that ran apart."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest
from fleet_fixture import run_fleet
from test_explaining import log_file

from savorychute.explain.log_reader import read_logs
from savorychute.explain.request_history import describe_request
from savorychute.testing.stand_in_http import LOOPBACK
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 60
PAUSE_S = 0.02
POST = {'path': '/p/1', 'method': 'POST', 'body': b'x'}
EVIDENCE = ('status', 'naming', 'named_id', 'calls_before', 'disbelieved')


def make_response(status, *headers):
    lines = [f'HTTP/1.1 {status} X', 'keep-alive: timeout=5', *headers]
    return '\r\n'.join([*lines, 'content-length: 0', '', '']).encode()


def serve(own_id, earlier_id):
    del earlier_id
    return make_response(200, f'attempt-id: {own_id}', 'server-signature: s')


def refuse_earlier(own_id, earlier_id):
    del own_id
    return make_response(503, f'attempt-id: {earlier_id}', 'not-executed: 1')


def refuse_nobody(own_id, earlier_id):
    del own_id, earlier_id
    return make_response(503, 'not-executed: 1')


def fail_with_promise(own_id, earlier_id):
    del earlier_id
    return make_response(503, f'attempt-id: {own_id}')


def stay_silent(own_id, earlier_id):
    del own_id, earlier_id
    return b''


def serve_without_proof(own_id, earlier_id):
    del earlier_id
    return make_response(200, f'attempt-id: {own_id}')


def serve_encoded(own_id, earlier_id):
    del earlier_id
    proof = f'attempt-id: {own_id}', 'server-signature: s'
    return make_response(200, *proof, 'content-encoding: gzip')


class RunningEndpoint:
    """Runs each request; sends what a test chooses instead of the last response."""

    def __init__(self, response):
        self.connections = set()
        self._response = response
        self._earlier_id = ''

    async def serve(self, reader, writer):
        self.connections.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                await reader.readexactly(1)
                lines = head.decode().split('\r\n')
                own_id = next(each for each in lines if each.startswith('attempt-id'))
                own_id = own_id.partition(': ')[2]
                respond = self._response if self._earlier_id else serve
                writer.write(respond(own_id, self._earlier_id))
                self._earlier_id = own_id
        writer.close()


async def run_fleet_with(response):
    """Call twice; return the second response, its id and the metrics."""
    async with asyncio.timeout(TEST_S), run_fleet() as fleet:
        endpoint = RunningEndpoint(response)
        server = await asyncio.start_server(endpoint.serve, LOOPBACK, 0)
        fleet.endpoints['d1'].port = server.sockets[0].getsockname()[1]
        fleet.write_entries(sequence=2)
        while not endpoint.connections:
            await fleet.call(**POST)
            await asyncio.sleep(PAUSE_S)
        settings = fleet.gateways[0].settings
        last = await fleet.call(**POST)
        last_id = fleet.last_attempt_id
        address = (settings.caller_address.host, settings.metrics_port)
        metrics = await fleet.get(address, '/metrics')
        server.close()
        for writer in endpoint.connections:
            writer.close()
        await asyncio.sleep(PAUSE_S)
        return last, last_id, metrics.body.decode()


def play(response, tmp_path):
    """Return the line of the last attempt, the explanation and the metrics."""
    path = tmp_path / response.__name__
    with log_file(path):
        _, last_id, metrics = run_virtual(run_fleet_with(response))
    lines = read_logs([path])
    ended = [
        line.fields
        for line in lines
        if line.event == 'attempt-ended' and line.request_id == last_id
    ]
    return ended[0], '\n'.join(describe_request(last_id, lines)), metrics


def test_causes_of_a_refused_request_that_ran_give_different_lines(tmp_path):
    """Guards against incidents whose causes the log cannot tell apart."""
    causes = (refuse_earlier, refuse_nobody, fail_with_promise, stay_silent)
    found = {each: play(each, tmp_path)[0] for each in causes}

    shown = {tuple(line.get(name) for name in EVIDENCE) for line in found.values()}
    assert len(shown) == len(causes)
    named = found[refuse_earlier]
    assert (named['naming'], named['disbelieved']) == ('other', 'other-request')
    assert named['named_id'].startswith('try-')
    unnamed = found[refuse_nobody]
    assert (unnamed['status'], unnamed['naming']) == (503, 'none')
    assert unnamed['calls_before'] == 1
    own = found[fail_with_promise]
    assert (own['status'], own['naming'], own['disbelieved']) == (503, 'own', '')
    silent = found[stay_silent]
    assert [silent[name] for name in ('status', 'naming', 'disbelieved')] == [None] * 3
    assert all(line['connection'] > 0 for line in found.values())


@pytest.mark.parametrize(
    ('response', 'sentence'),
    [
        (refuse_earlier, 'named another request (try-'),
        (refuse_nobody, 'status 503 named no request, on connection'),
        (fail_with_promise, 'status 503 named the request, on connection'),
        (stay_silent, 'no response came on connection'),
    ],
)
def test_cause_of_a_refused_request_that_ran_is_explained(response, sentence, tmp_path):
    _, story, _ = play(response, tmp_path)

    assert sentence in story
    assert ' after 1 other call' in story


@pytest.mark.parametrize(
    ('response', 'reason'),
    [
        (refuse_earlier, 'other-request'),
        (serve_without_proof, 'no-proof'),
        (serve_encoded, 'encoded'),
    ],
)
def test_response_that_is_not_believed_is_counted_by_its_reason(
    response, reason, tmp_path
):
    line, story, metrics = play(response, tmp_path)

    assert line['disbelieved'] == reason
    assert f'it was not believed ({reason})' in story
    counted = [
        each
        for each in metrics.splitlines()
        if each.startswith('savorychute_responses_disbelieved_total{')
    ]
    assert len(counted) == 1
    assert f'reason="{reason}"' in counted[0]
    assert counted[0].endswith(' 1')


def test_line_of_an_answered_request_names_its_connection(tmp_path):
    path = tmp_path / 'log'
    with log_file(path):
        run_virtual(run_fleet_with(serve))
    line = [each for each in read_logs([path]) if each.event == 'request-finished'][-1]

    assert (line.fields['state'], line.fields['naming']) == ('answered', 'own')
    assert (line.fields['connection'] > 0, line.fields['calls_before']) == (True, 1)
