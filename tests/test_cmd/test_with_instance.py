"""The operators' commands against a real instance on loopback."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import threading

import pytest

from savorychute.cmd.connection_arguments import ADDRESS_VARIABLE
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_client import TOKEN_VARIABLE
from savorychute.config import Settings, build_settings
from savorychute.daemon.run_host import run_host
from savorychute.instance import Instance
from savorychute.settings.part_settings import (
    make_host_settings,
    make_instance_settings,
)
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.list_server import serve_list
from savorychute.testing.log_server import serve_log

TOKEN = 'operator-token'
CONTRACT = {
    'organisation': 'malanadu',
    'token_hashes': ['0' * 64],
    'pool_share': 0.5,
    'requests_per_s': 10,
    'concurrent_requests': 10,
    'tokens_per_s': 1_000,
    'models': ['pump-diagnosis'],
    'classes': [
        {
            'name': 'diagnosis',
            'tier': 0,
            'first_token_target_ms': 320,
            'token_gap_target_ms': 52,
            'timeout_ms': 20_000,
            'weight': 3,
            'idempotent': True,
        }
    ],
}
ENDPOINT = {
    'endpoint': 'engine-1',
    'dialect': 'openai-engine',
    'host': '127.0.0.1',
    'port': 9,
    'region': 'kerala',
    'failure_domain': 'kochi-hall',
    'state': 'active',
    'concurrent_requests': 8,
    'models': ['pump-diagnosis'],
}


@pytest.fixture(scope='module')
def instance_port():
    """Run an instance, a log and a list in a loop on another thread."""
    started = threading.Event()
    found: list[int] = []
    loop = asyncio.new_event_loop()
    stop = asyncio.Event()

    async def main() -> None:
        log = AppendLog(LogSettings(), random.Random(1))
        async with serve_log(log) as logs, serve_list(InstanceList(0)) as listing:
            settings = make_settings(logs.port, listing.port)
            async with run_host(
                make_host_settings(settings),
                lambda address: Instance(
                    make_instance_settings(settings), address, random.Random(2)
                ),
            ) as host:
                found.append(host.address.caller_port)
                while not host.instance.ready:
                    await asyncio.sleep(0.01)
                started.set()
                await stop.wait()

    thread = threading.Thread(target=lambda: loop.run_until_complete(main()))
    thread.start()
    assert started.wait(20)
    yield found[0]
    loop.call_soon_threadsafe(stop.set)
    thread.join()
    loop.close()


@pytest.fixture
def ask(run, instance_port, monkeypatch):
    """Run a command with ``--json``; return its exit code and document."""
    monkeypatch.setenv(ADDRESS_VARIABLE, f'127.0.0.1:{instance_port}')
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)

    def call(*argv: str) -> tuple[int, dict]:
        code, out, _ = run(*argv, '--json')
        return code, json.loads(out)

    return call


@pytest.fixture
def write(tmp_path):
    def make(document: dict) -> str:
        path = tmp_path / 'document.jsonc'
        path.write_text('// For an operator.\n' + json.dumps(document))
        return str(path)

    return make


def make_settings(log_port: int, list_port: int) -> Settings:
    return build_settings(
        {
            'instance': 'kochi-1',
            'region': 'kerala',
            'failure_domain': 'kochi-hall',
            'host': '127.0.0.1',
            'caller_port': 0,
            'peer_port': 0,
            'log_address': f'127.0.0.1:{log_port}',
            'list_address': f'127.0.0.1:{list_port}',
            'peer_keys': [{'key_id': 1, 'secret': '00' * 16}],
            'operator_token_hashes': {
                'ravi': hashlib.sha256(TOKEN.encode()).hexdigest()
            },
        }
    )


def test_contract_is_made_amended_and_followed(ask, write):
    path = write(CONTRACT)
    change = ('contract', 'amend', path, '--why', 'first')
    code, made = ask(*change, '--base-version', '0')
    assert code == ExitCode.OK
    code, shown = ask('contract', 'show', 'malanadu')
    assert code == ExitCode.OK
    assert shown['version'] == made['version']
    assert shown['document'] == CONTRACT

    assert ask(*change, '--base-version', '0')[0] == ExitCode.REFUSED
    second = write({**CONTRACT, 'requests_per_s': 20})
    amend = ('contract', 'amend', second, '--why', 'more pumps')
    code, amended = ask(*amend, '--base-version', str(made['version']))
    assert code == ExitCode.OK
    shown = ask('contract', 'show', 'malanadu')[1]
    assert shown['version'] == amended['version'] > made['version']
    assert shown['document']['requests_per_s'] == 20
    history = ask('contract', 'history', 'malanadu')[1]['history']
    assert [entry['operator'] for entry in history] == ['ravi', 'ravi']
    entries = ask('audit', '--item', 'contract:malanadu')[1]['entries']
    assert 'more pumps' in json.dumps(entries)


def test_change_with_the_same_record_id_takes_effect_once(ask, write):
    """The answer to an amendment is lost; the operator sends it again.

    Both records are in the log.  With one record id the second finds the
    first instead of being refused for its base version, or applied.
    """
    document = {**CONTRACT, 'organisation': 'hooghly', 'token_hashes': ['1' * 64]}
    argv = ('contract', 'amend', write(document), '--why', 'x', '--record-id', 'r-9')
    first = ask(*argv, '--base-version', '0')
    second = ask(*argv, '--base-version', '0')
    assert (first[0], second[0]) == (ExitCode.OK, ExitCode.OK)
    assert first[1]['offset'] == second[1]['offset']
    shown = ask('contract', 'show', 'hooghly')[1]
    assert shown['version'] == first[1]['version'] == second[1]['version']
    assert len(ask('contract', 'history', 'hooghly')[1]['history']) == 1


def test_endpoint_is_added_drained_and_retired(ask, write):
    add = ('endpoint', 'add', write(ENDPOINT), '--why', 'new engine')
    assert ask(*add)[0] == ExitCode.OK
    assert show_state(ask) == 'active'
    assert ask('endpoint', 'drain', 'engine-1', '--why', 'repair')[0] == ExitCode.OK
    assert show_state(ask) == 'draining'
    assert ask('endpoint', 'retire', 'engine-1', '--why', 'gone')[0] == ExitCode.OK
    assert show_state(ask) == 'retired'
    assert ask('endpoint', 'drain', 'engine-9', '--why', 'x')[0] == ExitCode.REFUSED


def show_state(ask) -> str:
    [endpoint] = ask('endpoint', 'list')[1]['endpoints']
    return endpoint['state']


def test_instance_shows_itself(ask):
    assert ask('status')[1]['instance'] == 'kochi-1'
    [entry] = ask('instance', 'list')[1]['instances']
    assert entry['instance'] == 'kochi-1'
    assert ask('explain', 'no-such-request')[0] == ExitCode.REFUSED


def test_operator_with_a_wrong_token_is_refused(ask, monkeypatch):
    monkeypatch.setenv(TOKEN_VARIABLE, 'organisation-token')
    code, document = ask('contract', 'show', 'malanadu')
    assert code == ExitCode.REFUSED
    assert document['error']['code'] == 1004
