"""Keeps the background work of a gateway running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from savorychute.gateway.telemetry import GatewayTelemetry

# A defect that comes at once again must not fill the log.
RESTART_MS = 1_000


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], telemetry: GatewayTelemetry
) -> None:
    """Run work that never ends, and begin it anew if it fails.

    The failure this guards against is a defect: a record that nobody foresaw ends the
    task that reads the store, and the process goes on with what it knew, for ever and
    without a word.  Begun anew, the work lists everything again.

    :param name: of the work, for the log.
    :param work: called without arguments.
    :param telemetry: is told of each failure.
    """
    while True:
        try:
            await work()
        except Exception as error:
            telemetry.work_failed(name, error)
        await asyncio.sleep(RESTART_MS / MS_PER_S)
