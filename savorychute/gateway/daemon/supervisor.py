"""Keeps the background work of a gateway running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from savorychute.gateway.telemetry import GatewayTelemetry

# Without a delay before each restart, a defect that recurs at once would fill the log.
RESTART_DELAY_MS = 1_000


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], telemetry: GatewayTelemetry
) -> None:
    """Run work that never ends, and restart it if it fails.

    This guards against defects: an unexpected record could end the task that reads the
    store, and the process would silently go on with stale state for ever.  After a
    restart the work lists everything again.

    :param name: name of the work, for the log.
    :param work: called without arguments.
    :param telemetry: logs each failure.
    """
    while True:
        try:
            await work()
        except Exception as error:
            telemetry.work_failed(name, error)
        await asyncio.sleep(RESTART_DELAY_MS / MS_PER_S)
