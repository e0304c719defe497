"""A calm day with planned work, on virtual time and without the users' bench."""

from __future__ import annotations

import asyncio
import json
import random

from rig import KEY, run_rig

from savorychute.http.client_pool import ServerAddress
from savorychute.testing.virtual_loop import run_virtual

CALLERS = 20
DAY_S = 40
CHANGE_S = 12
DRAIN_S = 18
LEAVE_S = 25
PAUSE_S = 1.0
EVENT_S = 0.05
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))
RESOLVE = '/-/resolve?name=desk.example&region=kerala&zone=kochi'


class Caller:
    """Asks for addresses, keeps them for as long as it may, and calls there."""

    def __init__(self, rig, number):
        self._rig = rig
        self._rng = random.Random(number)
        self._number = number
        self._addresses = []
        self._until_s = 0.0
        self.answers = []

    async def run(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.random() * PAUSE_S)
        while loop.time() < DAY_S:
            await self._call(await self._address(loop))
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_S)

    async def _address(self, loop):
        if loop.time() >= self._until_s:
            asked = self._rig.gateways[self._number % 2].settings.discovery_address
            document = json.loads((await self._rig.get(asked, RESOLVE)).body)
            self._addresses = document['addresses']
            self._until_s = loop.time() + document['ttlS']
        host, _, port = self._rng.choice(self._addresses).rpartition(':')
        return ServerAddress(host, int(port))

    async def _call(self, address):
        stream = self._rng.random() < 0.5
        body = b'%d-%d' % (self._number, len(self.answers))
        response = await self._rig.call(
            '/s/1' if stream else '/a/1', method='POST', body=body, address=address
        )
        wanted = EVENTS if stream else body
        status = getattr(response, 'status', None)
        self.answers.append((status, getattr(response, 'body', response) == wanted))


async def plan(rig):
    """Change the configuration, replace an endpoint, and let an instance leave."""
    await asyncio.sleep(CHANGE_S)
    rig.write_configuration(2, tenants=[{'name': 'kochi', 'apiKeys': [KEY, 'second']}])
    await asyncio.sleep(DRAIN_S - CHANGE_S)
    rig.write_entry('d1', state='draining', sequence=2)
    await asyncio.sleep(LEAVE_S - DRAIN_S)
    await rig.gateways[2].host.leave()


def test_calm_day_with_planned_work():
    """A day on which nothing breaks.

    Twenty callers ask for addresses and call three instances, plainly and for streams.
    Meanwhile a configuration is accepted, one of two plain endpoints drains, and one
    instance leaves.  Each caller gets the whole answer to each of its own requests.
    """

    async def main():
        async with asyncio.timeout(2 * DAY_S), run_rig(3, spare=True) as rig:
            for endpoint in rig.endpoints.values():
                endpoint.event_s = EVENT_S
            callers = [Caller(rig, number) for number in range(CALLERS)]
            await asyncio.gather(plan(rig), *(each.run() for each in callers))
            late = [each for each in rig.endpoints['d1'].times if each > DRAIN_S + 2]
            second = await rig.call('/a/1', key='second')
            return [answer for each in callers for answer in each.answers], late, second

    answers, late, second = run_virtual(main())

    assert len(answers) > CALLERS * DAY_S / 2
    assert set(answers) == {(200, True)}
    assert not late
    assert second.status == 200
