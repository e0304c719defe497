"""Tests that the logs of real runs explain the outcome of a request by its id."""

from __future__ import annotations

import asyncio
import json
from contextlib import contextmanager

from eliot import add_destinations, remove_destination
from fleet_fixture import run_fleet

from savorychute.explain.log_reader import read_logs
from savorychute.explain.request_history import describe_request
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 30
LONG_PROMPT = (
    ('model', 'm'),
    ('token-count', '17000,120'),
    ('prefix-hash', '5c1e:13300,e440:3700'),
)


@contextmanager
def log_file(path):
    """Write all log lines to a file, as a log collector does."""
    with path.open('w') as file:

        def write(message):
            file.write(f'kochi-1 {json.dumps(message)}\n')

        add_destinations(write)
        try:
            yield
        finally:
            remove_destination(write)


def explain(scenario, tmp_path):
    """Run a scenario; return its response and the explanation of its last request."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet() as fleet:
            return await scenario(fleet), fleet.last_attempt_id

    path = tmp_path / 'log'
    with log_file(path):
        response, request_id = run_virtual(main())
    return response, '\n'.join(describe_request(request_id, read_logs([path])))


def test_refusal_under_load_is_explained(tmp_path):
    async def scenario(fleet):
        engine = fleet.endpoints['e1']
        engine.report_body = b'{"waiting":90,"running":8,"runs":[],"nextToken":17000}'
        return await fleet.call('/s/1', method='POST', extra=LONG_PROMPT)

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'the best engine e1 had 98 requests' in story
    assert 'overload with status 503' in story


def test_unknown_outcome_after_a_crash_is_explained(tmp_path):
    async def scenario(fleet):
        for endpoint in fleet.endpoints.values():
            endpoint.aborts = True
        response = await fleet.call('/a/1')
        fleet.store.put('keyed.servers', 'd1', None)
        await fleet.call_until_status(503)
        fleet.last_attempt_id = failed_attempt_id
        return response

    failed_attempt_id = 'try-2'
    response, story = explain(scenario, tmp_path)

    assert response.status == 502
    assert 'the attempt at d1 of desk broke (connection-lost)' in story
    assert 'learned that d1 is gone' in story


def test_refusal_of_a_revoked_key_is_explained(tmp_path):
    async def scenario(fleet):
        fleet.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        return await fleet.call_until_status(401)

    response, story = explain(scenario, tmp_path)

    assert response.status == 401
    assert 'put version 2 in force' in story
    assert '(unknown-key), told not-run; by version 2' in story


def test_refusal_of_a_key_without_the_store_is_explained(tmp_path):
    async def scenario(fleet):
        fleet.store.mode = 'busy'
        return await fleet.call_until_status(503)

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'could not read configuration' in story
    assert 'key-unconfirmed' in story


def test_refusal_because_of_the_limit_of_the_only_endpoint_is_explained(tmp_path):
    async def scenario(fleet):
        fleet.endpoints['d1'].statement_headers = (('server-limit', '0.5'),)
        await fleet.call()
        return await fleet.call()

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'learned that d1 takes 0.5 calls a second' in story
    assert 'a permit to call d1 was denied, for 2000 ms' in story


def test_refusal_because_the_only_endpoint_is_in_backoff_is_explained(tmp_path):
    async def scenario(fleet):
        endpoint = fleet.endpoints['d1']
        endpoint.sheds, endpoint.statement_headers = True, (('retry-after', '3'),)
        return await fleet.call()

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'was asked by d1 for a rest of 3000 ms' in story


def test_refusal_of_a_stream_of_unknown_origin_is_explained(tmp_path):
    async def scenario(fleet):
        fleet.write_entry('e1', version='v2', sequence=2)
        fleet.write_marks(['', 'v2'])
        await asyncio.sleep(2)
        extra = (('last-event-id', '4'), ('resumes', 'try-0'))
        return await fleet.call('/s/1', method='POST', extra=extra)

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'took up the stream of try-0 after event 4: unknown-origin' in story
    assert 'code 2016 (unknown-origin), told not-run' in story


def test_source_of_the_version_of_a_resumed_stream_is_explained(tmp_path):
    async def scenario(fleet):
        await fleet.call('/s/1', method='POST')
        extra = (('last-event-id', '2'), ('resumes', fleet.last_attempt_id))
        return await fleet.call('/s/1', method='POST', extra=extra)

    response, story = explain(scenario, tmp_path)

    assert response.status == 200
    assert (
        'admitted after 0 ms; it began at software without a version of pool' in story
    )
    assert 'known from own for' in story


def test_refusal_because_the_only_endpoint_is_leaving_is_explained(tmp_path):
    async def scenario(fleet):
        fleet.endpoints['d1'].statement_headers = (('server-leaving', '1'),)
        await fleet.call()
        return await fleet.call()

    response, story = explain(scenario, tmp_path)

    assert response.status == 503
    assert 'learned that d1 leaves' in story
