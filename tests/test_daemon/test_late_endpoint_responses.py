"""Tests of responses of endpoints that belong to another request."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from contextlib import AsyncExitStack

import pytest
from daemon_fakes import TOKEN, call, run_forwarding
from repeating_service import Extra, LateEndpoint, serve_late
from system_fixture import describe_service, run_instances

from savorychute.client import CallError, ServiceCall, open_client
from savorychute.ran import Ran
from savorychute.testing.virtual_loop import run_virtual

REQUESTS = 6
VISITS = 12
HEADERS = {'authorization': f'Bearer {TOKEN}', 'x-request-class': 'diagnosis'}
CHAT = json.dumps({'model': 'm', 'messages': [{'role': 'user', 'content': 'x'}]})
PATHS = ('/v1/chat/completions', '/v1/services/desk/visits')
NOT_RUN_STATUSES = (408, 421, 429, 503)
EXTRAS = {
    'refusal': Extra(503),
    'refusal_of_another': Extra(503, named=True),
    'rate_limit': Extra(429),
    'unavailable': Extra(503, ()),
    'copy': Extra(200, ()),
    'copy_of_another': Extra(200, (), named=True),
}


def send_requests(endpoint, path, count=REQUESTS):
    """Return the responses to requests that are sent one after another."""

    async def main():
        responses = []
        async with (
            serve_late(endpoint) as address,
            run_forwarding(address) as (host, _),
            call(host.address.caller_port) as caller,
        ):
            for _ in range(count):
                caller.write_request('POST', path, HEADERS, CHAT.encode())
                responses.append(await caller.read_response())
        return responses

    return run_virtual(main())


def attempt_of(response):
    return f'a-{response.headers["x-request-id"]}'


def states_not_run(response):
    return response.status in NOT_RUN_STATUSES or response.headers['x-ran'] == 'not-run'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('naming', [False, True])
@pytest.mark.parametrize('extra', EXTRAS)
def test_late_response_is_not_taken_for_the_next_one(path, naming, extra):
    """Guards against requests that ran and whose callers are told the contrary.

    Guards also against a caller that gets the response to another one's request.
    """
    endpoint = LateEndpoint(EXTRAS[extra], naming=naming)
    responses = send_requests(endpoint, path)

    ran = {attempt_id for attempt_id, _ in endpoint.runs}
    refused = [each for each in responses if states_not_run(each)]
    assert [each for each in refused if attempt_of(each) in ran] == []
    for response in responses:
        if response.status == 200:
            assert json.loads(response.body)['run'] == attempt_of(response)
    # The request that follows a late response is served again.
    assert sum(each.status == 200 for each in responses) >= REQUESTS // 2


@pytest.mark.parametrize('path', PATHS)
def test_endpoint_that_names_requests_is_called_over_one_connection(path):
    """Guards against a new connection for each request to sound endpoints."""
    endpoint = LateEndpoint(naming=True)
    responses = send_requests(endpoint, path)

    assert [each.status for each in responses] == [200] * REQUESTS
    assert endpoint.connections == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('naming', [False, True])
def test_true_refusal_is_believed(path, naming):
    """Guards against unknown outcomes of requests that an endpoint refused."""
    endpoint = LateEndpoint(naming=naming)
    endpoint.refusing = True
    responses = send_requests(endpoint, path)

    assert [each.headers['x-ran'] for each in responses] == ['not-run'] * REQUESTS
    assert endpoint.runs == []


def test_refusal_of_another_request_does_not_run_one_twice():
    """Guards against a retry of a request that ran where it seemed to be refused."""
    endpoints = [LateEndpoint(Extra(503)) for _ in range(2)]

    async def main():
        async with AsyncExitStack() as stack:
            services = [
                {**describe_service(address.port), 'endpoint': f'desk-{number}'}
                for number, address in enumerate(
                    [await stack.enter_async_context(serve_late(e)) for e in endpoints]
                )
            ]
            system = await stack.enter_async_context(run_instances(*services))
            settings = system.client_settings
            client = await stack.enter_async_context(open_client(settings))
            return [await write_visit(client, number) for number in range(VISITS)]

    outcomes = asyncio.run(main())
    runs = Counter(body for each in endpoints for _, body in each.runs)
    assert [body for body, count in runs.items() if count > 1] == []
    not_run = {body for body, ran in outcomes if ran is Ran.NOT_RUN}
    assert not_run & runs.keys() == set()
    assert sum(ran is Ran.RAN for _, ran in outcomes) >= VISITS // 2


async def write_visit(client, number):
    """Return the body of a request that may run once, and whether it ran."""
    body = b'{"visit":%d}' % number
    call_ = ServiceCall('desk', 'POST', '/visits', 'visit-log', body, idempotent=False)
    try:
        await client.call_service(call_)
    except CallError as error:
        return body, error.ran
    return body, Ran.RAN
