"""Tests of restarting background work."""

from __future__ import annotations

import asyncio

from gateway_fakes import make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.daemon import supervisor
from savorychute.gateway.daemon.supervisor import keep_running


def test_failed_work_is_restarted(monkeypatch):
    """Guards against an instance that goes on with stale state.

    An unexpected record ends the task that follows the configuration.  Nothing else
    fails, so the instance would serve an old version until an operator notices.
    """
    monkeypatch.setattr(supervisor, 'RESTART_DELAY_MS', 1)
    starts = []

    async def work():
        starts.append(len(starts))
        if len(starts) < 3:
            raise KeyError('an unexpected record')
        await asyncio.Event().wait()

    async def main():
        telemetry = make_telemetry(ManualClock())
        task = asyncio.create_task(keep_running('configuration', work, telemetry))
        while len(starts) < 3:
            await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(main())

    assert starts == [0, 1, 2]
