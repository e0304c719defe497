"""Test of normal operation with planned changes, on virtual time."""

from __future__ import annotations

import asyncio
import json
import random

from fleet_fixture import KEY, run_fleet

from savorychute.http.client_pool import ServerAddress
from savorychute.testing.virtual_loop import run_virtual

CALLERS = 20
DURATION_S = 40
CHANGE_AT_S = 12
DRAIN_AT_S = 18
LEAVE_AT_S = 25
MEAN_PAUSE_S = 1.0
EVENT_S = 0.05
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))
DISCOVERY_TARGET = '/-/resolve?name=desk.example&region=kerala&zone=kochi'


class FakeCaller:
    """Queries addresses, caches them for their lifetime, and sends requests to them."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._rng = random.Random(number)
        self._number = number
        self._addresses = []
        self._expires_s = 0.0
        self.responses = []

    async def run(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.random() * MEAN_PAUSE_S)
        while loop.time() < DURATION_S:
            await self._call(await self._choose_address(loop))
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * MEAN_PAUSE_S)

    async def _choose_address(self, loop):
        if loop.time() >= self._expires_s:
            discovery_address = self._fleet.gateways[
                self._number % 2
            ].settings.discovery_address
            document = json.loads(
                (await self._fleet.get(discovery_address, DISCOVERY_TARGET)).body
            )
            self._addresses = document['addresses']
            self._expires_s = loop.time() + document['ttlS']
        host, _, port = self._rng.choice(self._addresses).rpartition(':')
        return ServerAddress(host, int(port))

    async def _call(self, address):
        stream = self._rng.random() < 0.5
        body = b'%d-%d' % (self._number, len(self.responses))
        response = await self._fleet.call(
            '/s/1' if stream else '/a/1', method='POST', body=body, address=address
        )
        expected = EVENTS if stream else body
        status = getattr(response, 'status', None)
        self.responses.append((status, getattr(response, 'body', response) == expected))


async def make_planned_changes(fleet):
    """Change the configuration, drain an endpoint, and let an instance leave."""
    await asyncio.sleep(CHANGE_AT_S)
    fleet.write_configuration(
        2, tenants=[{'name': 'kochi', 'apiKeys': [KEY, 'second']}]
    )
    await asyncio.sleep(DRAIN_AT_S - CHANGE_AT_S)
    fleet.write_entry('d1', state='draining', sequence=2)
    await asyncio.sleep(LEAVE_AT_S - DRAIN_AT_S)
    await fleet.gateways[2].host.leave()


def test_requests_succeed_during_planned_changes():
    """Guards against requests that fail although nothing breaks.

    Twenty callers query addresses and send plain and streaming requests to three
    instances.  Meanwhile a configuration is accepted, one of two plain endpoints
    drains, and one instance leaves.  Each request receives its own complete response.
    """

    async def main():
        async with asyncio.timeout(2 * DURATION_S), run_fleet(3, spare=True) as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.delay_s = EVENT_S
            callers = [FakeCaller(fleet, number) for number in range(CALLERS)]
            await asyncio.gather(
                make_planned_changes(fleet), *(caller.run() for caller in callers)
            )
            late = [
                at_s
                for at_s in fleet.endpoints['d1'].received_times_s
                if at_s > DRAIN_AT_S + 2
            ]
            second = await fleet.call('/a/1', key='second')
            return (
                [response for caller in callers for response in caller.responses],
                late,
                second,
            )

    responses, late, second = run_virtual(main())

    assert len(responses) > CALLERS * DURATION_S / 2
    assert set(responses) == {(200, True)}
    assert not late
    assert second.status == 200
