"""Tests of the operator commands against a real instance on loopback."""

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
    """Run an instance, a log and a list in an event loop on another thread."""
    started = threading.Event()
    ports: list[int] = []
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
                ports.append(host.address.caller_port)
                while not host.instance.ready:
                    await asyncio.sleep(0.01)
                started.set()
                await stop.wait()

    thread = threading.Thread(target=lambda: loop.run_until_complete(main()))
    thread.start()
    assert started.wait(20)
    yield ports[0]
    loop.call_soon_threadsafe(stop.set)
    thread.join()
    loop.close()


@pytest.fixture
def run_json(run, instance_port, monkeypatch):
    """Run a command with ``--json``; return its exit code and document."""
    monkeypatch.setenv(ADDRESS_VARIABLE, f'127.0.0.1:{instance_port}')
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)

    def call(*argv: str) -> tuple[int, dict]:
        code, out, _ = run(*argv, '--json')
        return code, json.loads(out)

    return call


@pytest.fixture
def write_document(tmp_path):
    def write(document: dict) -> str:
        path = tmp_path / 'document.jsonc'
        path.write_text('// For an operator.\n' + json.dumps(document))
        return str(path)

    return write


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


def test_contract_is_created_amended_and_shown(run_json, write_document):
    path = write_document(CONTRACT)
    change = ('contract', 'amend', path, '--why', 'first')
    code, created = run_json(*change, '--base-version', '0')
    assert code == ExitCode.OK
    code, shown = run_json('contract', 'show', 'malanadu')
    assert code == ExitCode.OK
    assert shown['version'] == created['version']
    assert shown['document'] == CONTRACT

    assert run_json(*change, '--base-version', '0')[0] == ExitCode.REFUSED
    second = write_document({**CONTRACT, 'requests_per_s': 20})
    amend = ('contract', 'amend', second, '--why', 'more pumps')
    code, amended = run_json(*amend, '--base-version', str(created['version']))
    assert code == ExitCode.OK
    shown = run_json('contract', 'show', 'malanadu')[1]
    assert shown['version'] == amended['version'] > created['version']
    assert shown['document']['requests_per_s'] == 20
    history = run_json('contract', 'history', 'malanadu')[1]['history']
    assert [entry['operator'] for entry in history] == ['ravi', 'ravi']
    entries = run_json('audit', '--item', 'contract:malanadu')[1]['entries']
    assert 'more pumps' in json.dumps(entries)


def test_change_with_the_same_record_id_takes_effect_once(run_json, write_document):
    """Guards against a change that is applied or refused when it is sent again.

    The response to an amendment is lost and the operator sends it again, so both
    records are in the log.  Because they have the same record id, the second is
    recognised as a copy of the first instead of being refused for its base version.
    """
    document = {**CONTRACT, 'organisation': 'hooghly', 'token_hashes': ['1' * 64]}
    argv = (
        'contract',
        'amend',
        write_document(document),
        '--why',
        'x',
        '--record-id',
        'r-9',
    )
    first = run_json(*argv, '--base-version', '0')
    second = run_json(*argv, '--base-version', '0')
    assert (first[0], second[0]) == (ExitCode.OK, ExitCode.OK)
    assert first[1]['offset'] == second[1]['offset']
    shown = run_json('contract', 'show', 'hooghly')[1]
    assert shown['version'] == first[1]['version'] == second[1]['version']
    assert len(run_json('contract', 'history', 'hooghly')[1]['history']) == 1


def test_endpoint_is_added_drained_and_retired(run_json, write_document):
    add = ('endpoint', 'add', write_document(ENDPOINT), '--why', 'new engine')
    assert run_json(*add)[0] == ExitCode.OK
    assert get_endpoint_state(run_json) == 'active'
    assert (
        run_json('endpoint', 'drain', 'engine-1', '--why', 'repair')[0] == ExitCode.OK
    )
    assert get_endpoint_state(run_json) == 'draining'
    assert run_json('endpoint', 'retire', 'engine-1', '--why', 'gone')[0] == ExitCode.OK
    assert get_endpoint_state(run_json) == 'retired'
    assert (
        run_json('endpoint', 'drain', 'engine-9', '--why', 'x')[0] == ExitCode.REFUSED
    )


def get_endpoint_state(run_json) -> str:
    [endpoint] = run_json('endpoint', 'list')[1]['endpoints']
    return endpoint['state']


def test_instance_reports_itself(run_json):
    assert run_json('status')[1]['instance'] == 'kochi-1'
    [entry] = run_json('instance', 'list')[1]['instances']
    assert entry['instance'] == 'kochi-1'
    assert run_json('explain', 'no-such-request')[0] == ExitCode.REFUSED


def test_operator_with_a_wrong_token_is_refused(run_json, monkeypatch):
    monkeypatch.setenv(TOKEN_VARIABLE, 'organisation-token')
    code, document = run_json('contract', 'show', 'malanadu')
    assert code == ExitCode.REFUSED
    assert document['error']['code'] == 1004
