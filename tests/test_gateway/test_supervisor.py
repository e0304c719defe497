"""Tests of background work that fails."""

from __future__ import annotations

import asyncio

from gateway_fakes import make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.daemon import supervisor
from savorychute.gateway.daemon.supervisor import keep_running


def test_work_that_fails_begins_anew(monkeypatch):
    """An instance that went on with what it knew.

    A record that nobody foresaw ends the task that follows the configuration.  Nothing
    else fails, and the instance serves an old version until somebody notices.
    """
    monkeypatch.setattr(supervisor, 'RESTART_MS', 1)
    begun = []

    async def work():
        begun.append(len(begun))
        if len(begun) < 3:
            raise KeyError('a record that nobody foresaw')
        await asyncio.Event().wait()

    async def main():
        telemetry = make_telemetry(ManualClock())
        task = asyncio.create_task(keep_running('configuration', work, telemetry))
        while len(begun) < 3:
            await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(main())

    assert begun == [0, 1, 2]
