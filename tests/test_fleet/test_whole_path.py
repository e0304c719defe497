"""Tests of the whole path, over sockets and without the users' bench."""

from __future__ import annotations

import asyncio
import json

import pytest
from rig import KEY, run_rig, until

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 30


def run(scenario, gateways=1, **settings):
    """Run a scenario against a rig."""

    async def main():
        async with asyncio.timeout(TEST_S), run_rig(gateways, **settings) as rig:
            return await scenario(rig)

    return run_virtual(main())


def test_calm_day():
    async def scenario(rig):
        plain = await rig.call('/a/1', method='POST', body=b'visit')
        stream = await rig.call('/s/1', method='POST', body=b'prompt')
        got = rig.endpoints['e1'].got[-1]
        return plain, stream, got

    plain, stream, got = run(scenario)

    assert (plain.status, plain.body) == (200, b'visit')
    assert stream.body == b''.join(b'id: %d\ndata: x\n\n' % n for n in (1, 2, 3))
    assert stream.headers['server-signature'] == 's'
    assert got['tenant'] == 'kochi'
    assert got['host'] == 'desk.example'
    assert KEY not in str(got)


@pytest.mark.parametrize(
    'path, key, status', [('/a/1', 'nobody', 401), ('/b/1', KEY, 404)]
)
def test_what_the_configuration_does_not_allow(path, key, status):
    assert run(lambda rig: rig.call(path, key=key)).status == status


def test_callers_are_told_all_instances_that_are_ready():
    async def scenario(rig):
        target = '/-/resolve?name=desk.example&region=kerala&zone=kochi'
        address = rig.gateways[0].settings.discovery_address
        wanted = sorted(str(each.settings.caller_address) for each in rig.gateways)
        while True:
            response = await rig.get(address, target)
            document = json.loads(response.body)
            if sorted(document['addresses']) == wanted:
                return document
            await asyncio.sleep(0.05)

    assert run(scenario, gateways=3)['ttlS'] == 2


def test_configuration_in_force_at_every_instance():
    """A key that was taken back.

    Two instances read the store for three; the third learns by its next question.
    """

    async def scenario(rig):
        rig.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        for number in range(3):
            await rig.until_status(401, gateway=number)
            assert (await rig.call(gateway=number, key='new')).status == 200

    run(scenario, gateways=3)


def test_leaving_endpoint_gets_nothing_new():
    async def scenario(rig):
        rig.write_entries(state='draining', sequence=2)
        for number in range(3):
            refused = await rig.until_status(503, gateway=number)
        return refused

    refused = run(scenario, gateways=3)

    assert json.loads(refused.body)['error']['ran'] == 'not-run'
    assert float(refused.headers['retry-after']) > 0


def test_store_that_forgets_and_answers_again():
    """A change behind lost history.

    The store drops its history just when a configuration is written; the newest record
    is there, and the offset that was read last is not.
    """

    async def scenario(rig):
        rig.store.mode = 'busy'
        topic = rig.store.topic('keyed.op')
        rig.write_configuration(5, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        topic.forget()
        rig.store.mode = 'up'
        await rig.until_status(200, key='new')

    run(scenario)


def test_configuration_that_takes_longer_than_a_timeout_to_arrive():
    """An instance behind a slow link that stayed at an old version for good.

    An operator adds thousands of routes.  The document takes longer over the link than the
    store may take to answer, so each read was given up on its way and began anew, and
    keys that the version takes back went on being accepted.
    """

    async def scenario(rig):
        rig.store.part_pause_s = 0.1
        rig.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': ['new']}])
        await rig.until_status(200, key='new')

    run(scenario, store_timeout_ms=300)


def test_keys_are_refused_when_the_store_stays_away():
    async def scenario(rig):
        rig.store.mode = 'busy'
        refused = await rig.until_status(503)
        ready = await rig.get(rig.gateways[0].settings.readiness_address, '/-/readyz')
        rig.store.mode = 'up'
        await rig.until_status(200)
        return refused, ready

    refused, ready = run(scenario, revoke_notice_ms=1_000)

    assert json.loads(refused.body)['error']['message'] == 'key-unconfirmed'
    assert ready.status == 503


def test_keys_stay_good_where_the_deployment_wants_it():
    async def scenario(rig):
        rig.store.mode = 'busy'
        configuration = rig.gateways[0].host._parts.configuration
        now_ms = rig.gateways[0].host._parts.clock.now_ms
        await until(lambda: configuration.age_ms(now_ms()) > 1_500)
        return await rig.call()

    answer = run(scenario, revoke_notice_ms=1_000, refuse_unconfirmed_keys=False)

    assert answer.status == 200


def test_instances_that_start_together_share_one_secret():
    """Instances that did not understand each other.

    All start at once, and each finds no secret in the store; only one may write it.
    """

    async def scenario(rig):
        return list(rig.store.topic('keyed.instances').records)

    records = run(scenario, gateways=3)

    assert sum(record[1:2] == b'@' for record in records) == 1


def test_graceful_stop_cuts_off_nothing():
    """A deployment that cut streams.

    The instance is told to leave while a stream is under way; the stream ends whole,
    new callers are told to go elsewhere, and readiness fails at once.
    """

    async def scenario(rig):
        engine = rig.endpoints['e1']
        engine.hold = asyncio.Event()
        stream = asyncio.create_task(rig.call('/s/1', method='POST'))
        await until(lambda: engine.got)
        host = rig.gateways[0].host
        leaving = asyncio.create_task(host.leave())
        await until(lambda: not host.ready)
        ready = await rig.get(rig.gateways[0].settings.readiness_address, '/-/readyz')
        late = await rig.until_status(503)
        engine.hold.set()
        whole = await stream
        await leaving
        return ready, late, whole

    ready, late, whole = run(scenario, grace_s=3.0)

    assert ready.status == 503
    assert json.loads(late.body)['error']['ran'] == 'not-run'
    assert whole.body.count(b'data') == 3


def test_metrics_are_served():
    async def scenario(rig):
        settings = rig.gateways[0].settings
        address = (settings.caller_address.host, settings.metrics_port)
        return await rig.get(address, '/metrics')

    text = run(scenario).body.decode()

    assert 'savorychute_requests_total' in text
    assert 'savorychute_configuration_version' in text
