"""Tests of the command that starts an instance."""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
import types

import pytest
from system_fixture import make_settings

from savorychute.cmd.serve import Serve


@pytest.fixture
def hang_ups():
    """Yield the reload signals that had no effect other than to be recorded."""
    received = []
    previous = signal.signal(signal.SIGHUP, lambda *_: received.append('hang-up'))
    yield received
    signal.signal(signal.SIGHUP, previous)


def test_starting_instance_ignores_the_reload_signal(tmp_path, monkeypatch, hang_ups):
    """Guards against an instance that a renewed certificate ends during its start.

    All instances are signalled while this one is loading and has no handler yet; the
    default action of the signal ends the process.
    """
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(make_settings(1, 1)))
    module = types.ModuleType('savorychute.daemon.main')

    def run_daemon(settings):
        del settings
        os.kill(os.getpid(), signal.SIGHUP)
        return 0

    module.run_daemon = run_daemon
    monkeypatch.setitem(sys.modules, module.__name__, module)

    assert Serve().run(argparse.Namespace(settings=path)) == 0
    assert not hang_ups
