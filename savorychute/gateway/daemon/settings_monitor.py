"""Monitors the settings file while the gateway runs."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.errors import SettingsError
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.settings.settings_file import read_schema

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.gateway.telemetry import GatewayTelemetry

# A change without a signal is in force within 2 s, the time that a change of the
# configuration may take.
POLL_INTERVAL_MS = 1_000


class SettingsMonitor:
    """Reloads the file on a signal, and when its modification time changes.

    A file with faults changes nothing: the process keeps its current settings and logs
    the faults.  Without a handler the signal would end the process, and with it every
    request in progress.

    The first poll always reads the file: it may have changed, and the signal for it may
    have been ignored, after the settings were read and before the gateway ran.

    :param path: path of the settings file.
    :param settings: the settings that were read at the start.
    :param telemetry: logs each reload.
    :param on_change: called with the new settings if any have changed.
    """

    def __init__(
        self,
        path: Path | str,
        settings: GatewaySettings,
        telemetry: GatewayTelemetry,
        on_change: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._telemetry = telemetry
        self._on_change = on_change
        self._modified_ns: int | None = None

    async def run(self) -> None:
        """Poll the file's modification time until the task is cancelled."""
        while True:
            if self._read_modified_ns() != self._modified_ns:
                self.reload()
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)

    def reload(self) -> None:
        """Read the file, and apply what has changed."""
        self._modified_ns = self._read_modified_ns()
        try:
            settings = read_schema(self._path, GATEWAY_SCHEMA)
        except SettingsError as error:
            self._telemetry.settings_rejected(error)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._telemetry.settings_reloaded(changed)
        if changed:
            self._settings = settings
            self._on_change(settings)

    def _read_modified_ns(self) -> int | None:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next poll finds the new one.
            return self._modified_ns
