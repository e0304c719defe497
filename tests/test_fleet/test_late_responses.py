"""Tests of responses that arrive a second time, over sockets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

from fleet_fixture import run_fleet

from savorychute.testing.stand_in_http import LOOPBACK
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 60
WORK_S = 0.05
PAUSE_S = 0.02
# Requests that may not run twice reuse no connection after it.
LONG_PAUSE_S = 1.0
# Each of so many requests is refused; more would need more retries than the bound allows.
REFUSAL_INTERVAL = 4
# A run that cannot know what earlier ones have spent sends no retry for a window.
FIRST_WINDOW_S = 12.0
POST = {'path': '/p/1', 'method': 'POST', 'body': b'x'}
SERVED, UNKNOWN = 200, 502


class RepeatingEndpoint:
    """Refuses some requests, and sends such a refusal again with the next response."""

    def __init__(self, has_extra, has_id):
        self.runs = []
        self.received = 0
        self.connections = 0
        self._has_extra = has_extra
        self._has_id = has_id

    async def serve(self, reader, writer):
        self.connections += 1
        extra = b''
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                await reader.readexactly(1)
                self.received += 1
                lines = head.split(b'\r\n')
                attempt = next(each for each in lines if each.startswith(b'attempt-id'))
                writer.write(extra)
                extra = b''
                if self.received % REFUSAL_INTERVAL == 0:
                    named = attempt + b'\r\n' if self._has_id else b''
                    refusal = (
                        b'HTTP/1.1 503 X\r\nkeep-alive: timeout=5\r\nnot-executed: 1\r\n'
                        + named
                        + b'content-length: 0\r\n\r\n'
                    )
                    writer.write(refusal)
                    extra = refusal if self._has_extra else b''
                    continue
                self.runs.append(attempt)
                await asyncio.sleep(WORK_S)
                writer.write(
                    b'HTTP/1.1 200 X\r\nkeep-alive: timeout=5\r\nserver-signature: s\r\n'
                    + attempt
                    + b'\r\ncontent-length: 4\r\n\r\ndone'
                )
        writer.close()


@asynccontextmanager
async def run_with_endpoint(has_extra, has_id=True):
    """Run a fleet with one such endpoint under two names.

    A request that it refuses comes again, to the same address.
    """
    async with asyncio.timeout(TEST_S), run_fleet(plain_endpoints=2) as fleet:
        endpoint = RepeatingEndpoint(has_extra, has_id)
        server = await asyncio.start_server(endpoint.serve, LOOPBACK, 0)
        for name in ('d1', 'd2'):
            fleet.endpoints[name].port = server.sockets[0].getsockname()[1]
        fleet.write_entries(sequence=2)
        await asyncio.sleep(FIRST_WINDOW_S)
        try:
            yield fleet, endpoint
        finally:
            server.close()


def play(has_extra, has_id=True, calls=12, pause_s=PAUSE_S):
    """Return the statuses of some requests, and the endpoint."""

    async def main():
        async with run_with_endpoint(has_extra, has_id) as (fleet, endpoint):
            statuses = []
            for _ in range(calls):
                statuses.append((await fleet.call(**POST)).status)
                await asyncio.sleep(pause_s)
            return statuses, endpoint

    return run_virtual(main())


def test_late_refusal_of_another_request_is_not_believed():
    """Guards against requests that run twice for a late 'not run' of another one."""
    statuses, endpoint = play(has_extra=True)
    assert len(set(endpoint.runs)) == len(endpoint.runs)
    # Each request that ran was told as served, or as one that may have run.
    assert len(endpoint.runs) <= statuses.count(SERVED) + statuses.count(UNKNOWN)


def test_true_refusals_are_used_at_once():
    """Guards against refusals that cost an attempt more than they have to."""
    for has_id, pause_s in (
        (True, PAUSE_S),
        (True, LONG_PAUSE_S),
        (False, LONG_PAUSE_S),
    ):
        statuses, endpoint = play(False, has_id, calls=8, pause_s=pause_s)
        assert statuses == [SERVED] * len(statuses)
        refused = endpoint.received // REFUSAL_INTERVAL
        assert endpoint.received == len(statuses) + refused


def test_refusal_without_an_id_on_a_used_connection_is_the_only_one_lost():
    """Guards against further lost refusals of an endpoint whose refusals bear no id."""
    statuses, endpoint = play(has_extra=False, has_id=False, calls=11)
    assert len(set(endpoint.runs)) == len(endpoint.runs)
    lost = statuses.index(UNKNOWN)
    assert lost == REFUSAL_INTERVAL - 1
    assert statuses == [SERVED] * lost + [UNKNOWN] + [SERVED] * (10 - lost)
    # Each further refusal costs one attempt more, and each further call a connection.
    refused = endpoint.received // REFUSAL_INTERVAL
    assert refused > 2
    assert endpoint.received == len(statuses) + refused - 1
    assert endpoint.connections >= endpoint.received - lost
