"""Tests of orders that the daemon sends to engines."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest
from daemon_fakes import FakeServer, serve, wait_until
from repeating_service import Extra, LateEndpoint, serve_late

from savorychute.actions import SendOrder
from savorychute.clock import ManualClock
from savorychute.daemon.engine_control import EngineControl
from savorychute.http.client_pool import PoolSettings, open_pool


class OrderSettings(NamedTuple):
    """The settings of a host that orders need."""

    order_timeout_ms: int = 5_000


class FakeHost:
    """A fake host with the parts that orders need."""

    def __init__(self) -> None:
        self.settings = OrderSettings()
        self.clock = ManualClock(1_000)
        self.delivered: list[object] = []

    def deliver(self, new_input: object) -> None:
        """Record the input for the instance."""
        self.delivered.append(new_input)


def make_order(address, send_before_ms):
    return SendOrder(
        order_id='o1',
        endpoint='engine-1',
        host=address.host,
        port=address.port,
        verb='load',
        target='small',
        fencing=7,
        expected_state='',
        send_before_ms=send_before_ms,
    )


@pytest.mark.parametrize(
    ('send_before_ms', 'outcome', 'requests'),
    [(2_000, 'done', 1), (1_000, 'refused', 0)],
)
def test_order_is_sent_only_while_its_lease_is_valid(send_before_ms, outcome, requests):
    """Guard against an order of an instance that has lost its lease.

    The instance checks its lease and submits the order, and its process is paused
    before the first byte is sent.  An engine that does not check fencing numbers
    would execute the order.
    """

    async def run():
        host = FakeHost()
        server = FakeServer(
            lambda exchange: exchange.respond(200, (), b'{"outcome":"done"}')
        )
        async with serve(server) as address:
            with open_pool(PoolSettings(), host.clock) as pool:
                control = EngineControl(host, pool)
                control.order(make_order(address, send_before_ms))
                await wait_until(lambda: host.delivered)
        return host.delivered[0].outcome, len(server.targets)

    assert asyncio.run(run()) == (outcome, requests)


@pytest.mark.parametrize(
    ('extra_status', 'status', 'outcome'), [(200, 409, 'refused'), (409, 200, 'done')]
)
def test_outcome_of_an_earlier_order_is_not_taken_for_the_next_one(
    extra_status, status, outcome
):
    """Guards against an order that took effect and is sent again, or the contrary."""

    async def run():
        host = FakeHost()
        engine = LateEndpoint(Extra(extra_status, ()))
        async with serve_late(engine) as address:
            with open_pool(PoolSettings(), host.clock) as pool:
                control = EngineControl(host, pool)
                control.order(make_order(address, 2_000))
                await wait_until(lambda: host.delivered)
                engine.status = status
                control.order(make_order(address, 2_000))
                await wait_until(lambda: len(host.delivered) > 1)
        return host.delivered[1].outcome

    assert asyncio.run(run()) == outcome
