"""Tests of a settings file that changes while a gateway runs."""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import suppress
from pathlib import Path

import pytest
from gateway_fakes import make_telemetry

from savorychute.clock import ManualClock
from savorychute.gateway.daemon.settings_monitor import SettingsMonitor
from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.settings.settings_file import read_schema
from savorychute.testing.virtual_loop import run_virtual

# Enough for several polls of the file.
POLLED_S = 5
# A modification time that differs from that of the first version of the file.
CHANGED_NS = 1
DOCUMENT = {
    'instance': 'kochi-1',
    'region': 'kerala',
    'failure_domain': 'kochi',
    'caller_address': '127.0.0.1:8001',
    'readiness_address': '127.0.0.1:8002',
    'discovery_address': '127.0.0.1:8003',
    'metrics_port': 8004,
    'peer_port': 8005,
    'store_address': '127.0.0.1:8006',
    'extension_paths': [str(Path(__file__).parents[2] / 'platform')],
    'extensions': ['fleet'],
    'platform': 'fleet',
}


@pytest.fixture
def path(tmp_path):
    path = tmp_path / 'gateway.jsonc'
    path.write_text(json.dumps(DOCUMENT))
    return path


@pytest.fixture
def changes():
    return []


@pytest.fixture
def monitor(path, changes):
    settings = read_schema(path, GATEWAY_SCHEMA)
    telemetry = make_telemetry(ManualClock())
    return SettingsMonitor(path, settings, telemetry, changes.append)


def test_settings_load_the_platform_adapter(path):
    assert read_schema(path, GATEWAY_SCHEMA).platform in PLATFORMS


def test_changed_file_is_applied(path, monitor, changes):
    path.write_text(json.dumps(DOCUMENT | {'retry_slack': 7}))

    monitor.reload()

    assert [settings.retry_slack for settings in changes] == [7]


def test_change_before_the_monitor_starts_is_applied(path, changes):
    """Guards against a gateway that keeps settings which changed while it started.

    The settings are read before the servers listen, and the monitor starts afterwards.
    """
    settings = read_schema(path, GATEWAY_SCHEMA)
    path.write_text(json.dumps(DOCUMENT | {'retry_slack': 7}))
    os.utime(path, ns=(CHANGED_NS, CHANGED_NS))
    telemetry = make_telemetry(ManualClock())
    monitor = SettingsMonitor(path, settings, telemetry, changes.append)

    async def main():
        with suppress(TimeoutError):
            async with asyncio.timeout(POLLED_S):
                await monitor.run()

    run_virtual(main())

    assert [settings.retry_slack for settings in changes] == [7]


def test_file_with_faults_changes_nothing(path, monitor, changes):
    """Guards against a partly written file that ends the process.

    The platform replaces the file while it sends the signal.  The process keeps its
    current settings; ending it would abort every request in progress.
    """
    path.write_text(json.dumps(DOCUMENT)[:40])
    monitor.reload()
    path.write_text(json.dumps(DOCUMENT | {'retry_slack': 'many'}))
    monitor.reload()
    os.remove(path)
    monitor.reload()

    assert changes == []


def test_unchanged_file_changes_nothing(monitor, changes):
    monitor.reload()

    assert changes == []


@pytest.mark.parametrize(
    'change', [{'grace_s': 7.5}, {'drain_notice_ms': 1_800.5}, {'retry_window_s': 8.2}]
)
def test_durations_accept_fractions(path, change):
    """Guards against a deployment that does not start.

    Its platform states a bound as a fraction, which the settings rejected.
    """
    path.write_text(json.dumps(DOCUMENT | change))

    settings = read_schema(path, GATEWAY_SCHEMA)

    assert all(getattr(settings, name) == value for name, value in change.items())
