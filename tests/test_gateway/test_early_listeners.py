"""Tests of sockets that listen before a gateway is loaded."""

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

LOADS_LITTLE = """
import sys
import savorychute.cmd.gateway
import savorychute.gateway.daemon.early_listeners
print(sorted({'asyncio', 'eliot', 'h11', 'capnp'} & set(sys.modules)))
"""


def write_settings(tmp_path, **addresses):
    path = tmp_path / 'gateway.jsonc'
    rows = ',\n'.join(f'"{name}": "{value}"' for name, value in addresses.items())
    path.write_text(f'// of one instance\n{{\n{rows}\n}}\n')
    return path


@pytest.fixture
def ports():
    return free_ports(2)


def test_callers_of_a_starting_gateway_wait(tmp_path, ports):
    """Callers who failed while a gateway was loading.

    All power is lost and comes back.  For half a second each instance loads its modules;
    callers that came meanwhile were reset, had used their one retry, and failed.
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


def test_sockets_are_closed_if_the_gateway_cannot_start(tmp_path, ports):
    path = write_settings(tmp_path, caller_address=f'127.0.0.1:{ports[0]}')
    with open_early_listeners(path):
        pass

    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(('127.0.0.1', ports[0]), 1.0)


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:', '127.0.0.1:99999999', ''])
def test_faulty_address_is_left_to_the_check_of_the_settings(tmp_path, address):
    path = write_settings(tmp_path, caller_address=address)

    with open_early_listeners(path) as listeners:
        assert not listeners


@pytest.mark.parametrize('text', ['', '[]', '{', '{"caller_address": 7}'])
def test_unreadable_settings_are_left_to_their_check(tmp_path, text):
    path = tmp_path / 'gateway.jsonc'
    path.write_text(text)

    with open_early_listeners(path) as listeners:
        assert not listeners


def test_listening_loads_nothing_that_can_wait():
    """A start that grew longer again.

    One import at the head of a module that the command needs would load the rest of the
    gateway before its sockets listen, and nobody would notice.
    """
    done = subprocess.run(
        [sys.executable, '-c', LOADS_LITTLE], capture_output=True, check=True, text=True
    )

    assert done.stdout.strip() == '[]'


def test_starting_gateway_survives_a_reload(tmp_path, monkeypatch):
    """An instance that ended because its settings had changed.

    It started while the platform wrote new settings and told all instances to read them.
    Until its loop runs nothing takes the signal, and the default is to end the process.
    """
    ended = []
    before = signal.signal(signal.SIGHUP, lambda *_: ended.append('hang-up'))
    loaded = types.ModuleType('savorychute.gateway.daemon.run_gateway')

    def run_gateway(path, listeners):
        os.kill(os.getpid(), signal.SIGHUP)
        return 0

    loaded.run_gateway = run_gateway
    monkeypatch.setitem(sys.modules, loaded.__name__, loaded)
    try:
        code = Gateway().run(argparse.Namespace(settings=tmp_path / 'none.jsonc'))
    finally:
        signal.signal(signal.SIGHUP, before)

    assert code == 0
    assert not ended
