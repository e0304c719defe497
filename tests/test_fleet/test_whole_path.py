"""End-to-end tests of gateways over sockets."""

from __future__ import annotations

import asyncio
import json

import pytest
from fleet_fixture import KEY, run_fleet, wait_until

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 30


def run(scenario, gateways=1, **settings):
    """Run a scenario against a fleet."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet(gateways, **settings) as fleet:
            return await scenario(fleet)

    return run_virtual(main())


def test_plain_and_streaming_requests_are_forwarded():
    async def scenario(fleet):
        plain = await fleet.call('/a/1', method='POST', body=b'visit')
        stream = await fleet.call('/s/1', method='POST', body=b'prompt')
        received = fleet.endpoints['e1'].received[-1]
        return plain, stream, received

    plain, stream, received = run(scenario)

    assert (plain.status, plain.body) == (200, b'visit')
    assert stream.body == b''.join(b'id: %d\ndata: x\n\n' % n for n in (1, 2, 3))
    assert stream.headers['server-signature'] == 's'
    assert received['tenant'] == 'kochi'
    assert received['host'] == 'desk.example'
    assert KEY not in str(received)


@pytest.mark.parametrize(
    'path, key, status', [('/a/1', 'nobody', 401), ('/b/1', KEY, 404)]
)
def test_unknown_key_and_route_are_refused(path, key, status):
    assert run(lambda fleet: fleet.call(path, key=key)).status == status


def test_discovery_returns_all_ready_instances():
    async def scenario(fleet):
        target = '/-/resolve?name=desk.example&region=kerala&zone=kochi'
        address = fleet.gateways[0].settings.discovery_address
        expected = sorted(str(each.settings.caller_address) for each in fleet.gateways)
        while True:
            response = await fleet.get(address, target)
            document = json.loads(response.body)
            if sorted(document['addresses']) == expected:
                return document
            await asyncio.sleep(0.05)

    assert run(scenario, gateways=3)['ttlS'] == 2


def test_configuration_is_in_force_at_every_instance():
    """Guards against an instance that still accepts a revoked key.

    Two of three instances read the store; the third one learns by its next query.
    """

    async def scenario(fleet):
        fleet.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(3):
            await fleet.call_until_status(401, gateway=number)
            assert (await fleet.call(gateway=number, key='new')).status == 200

    run(scenario, gateways=3)


def test_empty_list_of_organisations_opens_no_route():
    """Guards against a configuration that takes the last keys away and lets all in."""

    async def scenario(fleet):
        fleet.write_configuration(2, tenants=[])
        for number in range(3):
            await fleet.call_until_status(401, gateway=number)
            assert (await fleet.call(gateway=number, key='nobody')).status == 401

    run(scenario, gateways=3)


def test_leaving_endpoint_receives_no_new_requests():
    async def scenario(fleet):
        fleet.write_entries(state='draining', sequence=2)
        for number in range(3):
            refused = await fleet.call_until_status(503, gateway=number)
        return refused

    refused = run(scenario, gateways=3)

    assert json.loads(refused.body)['error']['ran'] == 'not-run'
    assert float(refused.headers['retry-after']) > 0


def test_configuration_is_read_after_the_store_drops_its_history():
    """Guards against a missed change when the store drops its history.

    The store drops it just after a configuration is written.  The newest record is
    still there, but the offset that was read last is not.
    """

    async def scenario(fleet):
        fleet.store.mode = 'busy'
        topic = fleet.store.topic('keyed.op')
        fleet.write_configuration(5, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        topic.forget()
        fleet.store.mode = 'up'
        await fleet.call_until_status(200, key='new')

    run(scenario)


def test_configuration_that_takes_longer_than_the_timeout():
    """Guards against an instance behind a slow link that never applies a version.

    An operator adds thousands of routes.  Transferring the document takes longer than
    the timeout of the store, so each read was cancelled and started again, and keys
    that the version revokes were still accepted.
    """

    async def scenario(fleet):
        fleet.store.part_pause_s = 0.1
        fleet.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        await fleet.call_until_status(200, key='new')

    run(scenario, store_timeout_ms=300)


def test_keys_are_refused_while_the_store_is_unavailable():
    async def scenario(fleet):
        fleet.store.mode = 'busy'
        refused = await fleet.call_until_status(503)
        ready = await fleet.get(
            fleet.gateways[0].settings.readiness_address, '/-/readyz'
        )
        fleet.store.mode = 'up'
        await fleet.call_until_status(200)
        return refused, ready

    refused, ready = run(scenario, revoke_notice_ms=1_000)

    assert json.loads(refused.body)['error']['message'] == 'key-unconfirmed'
    assert ready.status == 503


def test_keys_stay_accepted_without_the_store_if_the_settings_allow_it():
    async def scenario(fleet):
        fleet.store.mode = 'busy'
        configuration = fleet.gateways[0].host._parts.configuration
        now_ms = fleet.gateways[0].host._parts.clock.now_ms
        await wait_until(lambda: configuration.age_ms(now_ms()) > 1_500)
        return await fleet.call()

    response = run(scenario, revoke_notice_ms=1_000, refuse_unconfirmed_keys=False)

    assert response.status == 200


def test_instances_that_start_together_share_one_secret():
    """Guards against instances that cannot authenticate each other's messages.

    All start at once, and none finds a secret in the store; only one may write it.
    """

    async def scenario(fleet):
        return list(fleet.store.topic('keyed.instances').records)

    records = run(scenario, gateways=3)

    assert sum(record[1:2] == b'@' for record in records) == 1


def test_graceful_stop_aborts_no_stream():
    """Guards against a deployment that aborts streams.

    The instance is stopped during a stream.  The stream is completed, new requests are
    refused, and readiness fails at once.
    """

    async def scenario(fleet):
        engine = fleet.endpoints['e1']
        engine.hold = asyncio.Event()
        stream = asyncio.create_task(fleet.call('/s/1', method='POST'))
        await wait_until(lambda: engine.received)
        host = fleet.gateways[0].host
        leaving = asyncio.create_task(host.leave())
        await wait_until(lambda: not host.ready)
        ready = await fleet.get(
            fleet.gateways[0].settings.readiness_address, '/-/readyz'
        )
        late_response = await fleet.call_until_status(503)
        engine.hold.set()
        stream_response = await stream
        await leaving
        return ready, late_response, stream_response

    ready, late_response, stream_response = run(scenario, grace_s=3.0)

    assert ready.status == 503
    assert json.loads(late_response.body)['error']['ran'] == 'not-run'
    assert stream_response.body.count(b'data') == 3


def test_metrics_are_served():
    async def scenario(fleet):
        settings = fleet.gateways[0].settings
        address = (settings.caller_address.host, settings.metrics_port)
        return await fleet.get(address, '/metrics')

    text = run(scenario).body.decode()

    assert 'savorychute_requests_total' in text
    assert 'savorychute_configuration_version' in text
