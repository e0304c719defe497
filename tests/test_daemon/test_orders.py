"""Tests of orders to engines at the daemon's sockets."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest
from daemon_fakes import SmallServer, serve, wait_until

from savorychute.actions import SendOrder
from savorychute.clock import ManualClock
from savorychute.daemon.engine_control import EngineControl
from savorychute.http.client_pool import PoolSettings, open_pool


class OrderSettings(NamedTuple):
    """What orders need of a host's settings."""

    order_timeout_ms: int = 5_000


class OrderingHost:
    """As much of a host as orders need."""

    def __init__(self) -> None:
        self.settings = OrderSettings()
        self.clock = ManualClock(1_000)
        self.delivered: list[object] = []

    def deliver(self, told: object) -> None:
        """Keep what the instance would be told."""
        self.delivered.append(told)


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
def test_order_leaves_only_while_its_lease_covers_it(send_before_ms, outcome, requests):
    """An engine would carry out the order of an instance that lost its lease.

    The instance checks its lease, hands the order over, and is paused before
    the first byte leaves; the engine does not check fencing numbers.
    """

    async def run():
        host = OrderingHost()
        server = SmallServer(
            lambda exchange: exchange.respond(200, (), b'{"outcome":"done"}')
        )
        async with serve(server) as address:
            with open_pool(PoolSettings(), host.clock) as pool:
                control = EngineControl(host, pool)
                control.order(make_order(address, send_before_ms))
                await wait_until(lambda: host.delivered)
        return host.delivered[0].outcome, len(server.targets)

    assert asyncio.run(run()) == (outcome, requests)
