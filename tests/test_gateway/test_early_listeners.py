"""Tests of sockets that listen before the gateway is loaded."""

from __future__ import annotations

import argparse
import os
import signal
import socket
import subprocess
import sys
import types

import pytest

from savorychute.cmd.gateway import Gateway
from savorychute.gateway.daemon.early_listeners import open_early_listeners
from savorychute.testing.ports import free_ports

PRINT_HEAVY_MODULES = """
import sys
import savorychute.cmd.gateway
import savorychute.gateway.daemon.early_listeners
print(sorted({'asyncio', 'eliot', 'h11', 'capnp'} & set(sys.modules)))
"""


def write_settings(tmp_path, **addresses):
    path = tmp_path / 'gateway.jsonc'
    fields = ',\n'.join(f'"{name}": "{value}"' for name, value in addresses.items())
    path.write_text(f'// of one instance\n{{\n{fields}\n}}\n')
    return path


@pytest.fixture
def ports():
    return free_ports(2)


def test_callers_wait_while_gateway_loads(tmp_path, ports):
    """Guards against callers that fail while a gateway loads.

    After a power loss each instance loads its modules for half a second.  Connections
    that arrived meanwhile were reset; the callers had used their one retry, and failed.
    """
    caller, discovery = (f'127.0.0.1:{port}' for port in ports)
    path = write_settings(tmp_path, caller_address=caller, discovery_address=discovery)

    with (
        open_early_listeners(path) as listeners,
        socket.create_connection(('127.0.0.1', ports[0]), 1.0) as waiting,
    ):
        waiting.sendall(b'GET / HTTP/1.1\r\n')
        accepted, _ = listeners[caller].accept()
        with accepted:
            accepted.setblocking(True)
            assert accepted.recv(100) == b'GET / HTTP/1.1\r\n'

    assert set(listeners) == {caller, discovery}


def test_sockets_are_closed_if_gateway_cannot_start(tmp_path, ports):
    path = write_settings(tmp_path, caller_address=f'127.0.0.1:{ports[0]}')
    with open_early_listeners(path):
        pass

    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(('127.0.0.1', ports[0]), 1.0)


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:', '127.0.0.1:99999999', ''])
def test_invalid_address_is_skipped(tmp_path, address):
    path = write_settings(tmp_path, caller_address=address)

    with open_early_listeners(path) as listeners:
        assert not listeners


@pytest.mark.parametrize('text', ['', '[]', '{', '{"caller_address": 7}'])
def test_unreadable_settings_are_skipped(tmp_path, text):
    path = tmp_path / 'gateway.jsonc'
    path.write_text(text)

    with open_early_listeners(path) as listeners:
        assert not listeners


def test_listening_loads_no_heavy_modules():
    """Guards against a slower start.

    One import at the top of a module that the command needs would load the rest of the
    gateway before its sockets listen, without any visible failure.
    """
    process = subprocess.run(
        [sys.executable, '-c', PRINT_HEAVY_MODULES],
        capture_output=True,
        check=True,
        text=True,
    )

    assert process.stdout.strip() == '[]'


def test_starting_gateway_ignores_reload_signal(tmp_path, monkeypatch):
    """Guards against an instance that a reload signal ends during its start.

    The platform wrote new settings and signalled all instances while this one started.
    No handler is installed until its loop runs, and the default action ends the
    process.
    """
    hang_ups = []
    previous_handler = signal.signal(
        signal.SIGHUP, lambda *_: hang_ups.append('hang-up')
    )
    module = types.ModuleType('savorychute.gateway.daemon.run_gateway')

    def run_gateway(path, listeners):
        os.kill(os.getpid(), signal.SIGHUP)
        return 0

    module.run_gateway = run_gateway
    monkeypatch.setitem(sys.modules, module.__name__, module)
    try:
        code = Gateway().run(argparse.Namespace(settings=tmp_path / 'none.jsonc'))
    finally:
        signal.signal(signal.SIGHUP, previous_handler)

    assert code == 0
    assert not hang_ups
