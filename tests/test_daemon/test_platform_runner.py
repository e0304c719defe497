"""Tests of calls of the daemon to the platform."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest
from daemon_fakes import wait_until
from repeating_service import Extra, LateEndpoint, serve_late

from savorychute.actions import AppendRecord
from savorychute.clock import ManualClock
from savorychute.daemon.platform_runner import PlatformRunner
from savorychute.http.client_pool import PoolSettings, ServerAddress, open_pool


class PlatformSettings(NamedTuple):
    """The settings of a host that calls to the platform need."""

    log_address: ServerAddress
    list_address: ServerAddress
    log_dialect: str = 'http'
    list_dialect: str = 'http'
    platform_timeout_ms: int = 5_000


class FakeHost:
    """A fake host with the parts that calls to the platform need."""

    def __init__(self, address: ServerAddress) -> None:
        self.settings = PlatformSettings(address, address)
        self.delivered: list[object] = []

    def deliver(self, new_input: object) -> None:
        """Record the input for the instance."""
        self.delivered.append(new_input)


@pytest.mark.parametrize(
    ('extra_status', 'status', 'outcome'),
    [(503, 201, 'appended'), (201, 503, 'refused')],
)
def test_outcome_of_an_earlier_append_is_not_taken_for_the_next_one(
    extra_status, status, outcome
):
    """Guards against a claim that is in the log and counts as refused, or reversely."""

    async def run():
        log = LateEndpoint(Extra(extra_status, ()))
        log.status = 201
        async with serve_late(log) as address:
            host = FakeHost(address)
            with open_pool(PoolSettings(), ManualClock(1_000)) as pool:
                runner = PlatformRunner(host, pool)
                runner.append(AppendRecord('a1', 'keys', b'first'))
                await wait_until(lambda: host.delivered)
                log.status = status
                runner.append(AppendRecord('a2', 'keys', b'second'))
                await wait_until(lambda: len(host.delivered) > 1)
        return host.delivered[1].outcome

    assert asyncio.run(run()) == outcome
