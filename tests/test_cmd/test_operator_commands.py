"""Tests of the operator commands against a stand-in for an instance."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest
from operator_stand_in import serve_stand_in

from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_verbs import VERB_ARGUMENTS

CERTIFICATE = Path(__file__).parent / 'certificates' / 'loopback.pem'
CHANGE = ('--why', 'more pumps', '--record-id', 'r-1')
VERB_COMMANDS = [
    (('contract', 'show', 'malanadu'), 'contract-show', {'organisation': 'malanadu'}),
    (
        ('contract', 'history', 'malanadu'),
        'contract-history',
        {'organisation': 'malanadu'},
    ),
    (('endpoint', 'list'), 'endpoint-list', {}),
    (('instance', 'list'), 'instance-list', {}),
    (('status',), 'status', {}),
    (
        ('audit', '--item', 'contract:a', '--since-offset', '9'),
        'audit',
        {'item': 'contract:a', 'since_offset': 9},
    ),
    (
        ('endpoint', 'drain', 'engine-1', *CHANGE),
        'endpoint-drain',
        {'endpoint': 'engine-1', 'why': 'more pumps', 'record_id': 'r-1'},
    ),
    (
        ('endpoint', 'retire', 'engine-1', '--base-version', '4', *CHANGE),
        'endpoint-retire',
        {
            'endpoint': 'engine-1',
            'why': 'more pumps',
            'record_id': 'r-1',
            'base_version': 4,
        },
    ),
]


@pytest.mark.parametrize('argv, verb, document', VERB_COMMANDS)
def test_command_sends_its_verb_and_document(run, stand_in, argv, verb, document):
    assert run(*argv)[0] == ExitCode.OK
    [received] = stand_in.received
    assert received.path == f'/v1/operator/{verb}'
    assert received.token == 'Bearer operator-token'
    assert received.document == document
    assert set(document) <= set(VERB_ARGUMENTS[verb].__annotations__)


def test_explain_asks_the_instance_that_handled_the_request(run, stand_in):
    """Guards against asking an instance that has no record of the request.

    Only the instance that handled a request knows its history; the request id has its
    name, and any instance knows its address.
    """
    with serve_stand_in(None) as owner:
        entry = {'instance': 'kochi-2', 'host': '127.0.0.1', 'caller_port': owner.port}
        stand_in.response = (200, 0, {'instances': [entry]})
        owner.response = (200, 0, {'request_id': 'kochi-2-5f-7', 'history': []})
        code, out, _ = run('explain', 'kochi-2-5f-7', '--json')
        assert code == ExitCode.OK
        assert json.loads(out)['request_id'] == 'kochi-2-5f-7'
        assert [command.path for command in stand_in.received] == [
            '/v1/operator/instance-list'
        ]
        assert [command.document for command in owner.received] == [
            {'request_id': 'kochi-2-5f-7'}
        ]


def test_explain_asks_the_first_instance_if_the_owner_has_left(run, stand_in):
    stand_in.response = (404, 1008, {'message': 'did not end here'})
    assert run('explain', 'kochi-9-5f-7')[0] == ExitCode.REFUSED
    assert stand_in.received[-1].document == {'request_id': 'kochi-9-5f-7'}


def test_amendment_sends_the_complete_contract(run, stand_in, contract_file):
    stand_in.response = (200, 0, {'item': 'contract:malanadu', 'version': 4})
    code, out, _ = run(
        'contract', 'amend', contract_file, '--base-version', '3', *CHANGE, '--json'
    )
    assert code == ExitCode.OK
    assert json.loads(out) == {'item': 'contract:malanadu', 'version': 4}
    assert stand_in.received[0].document == {
        'organisation': 'malanadu',
        'document': {'organisation': 'malanadu', 'classes': []},
        'base_version': 3,
        'why': 'more pumps',
        'record_id': 'r-1',
    }


def test_amendment_without_a_base_version_is_not_sent(run, stand_in, contract_file):
    """Guards against an amendment that silently overwrites another one.

    Two operators amend a contract, and the second has not seen the first change. A
    base version chosen by the command would let the second change replace the first,
    so the operator must specify the version on which the change is based.
    """
    code, _, err = run('contract', 'amend', contract_file, '--why', 'x')
    assert code == ExitCode.USAGE
    assert '--base-version' in err
    assert stand_in.received == []


def test_refusal_shows_code_and_reason(run, stand_in):
    conflict = {'message': 'based on 3', 'version': 5}
    stand_in.response = (409, 4001, conflict)
    code, out, err = run('endpoint', 'drain', 'engine-1', '--why', 'x')
    assert code == ExitCode.REFUSED
    assert out == ''
    assert err.startswith('error 4001: ')
    assert 'based on 3' in err
    assert err.endswith('version in force: 5\n')


def test_unconfirmed_change_has_its_own_exit_code(run, stand_in):
    stand_in.response = (202, 4003, {'record_id': 'r-1'})
    code, out, err = run('endpoint', 'drain', 'engine-1', *CHANGE, '--json')
    assert code == ExitCode.UNCONFIRMED
    assert json.loads(out) == {'record_id': 'r-1'}
    assert '--record-id r-1' in err


def test_lost_response_prints_the_record_id_for_a_retry(run, stand_in):
    """Guards against a change that is made twice after a lost response.

    The instance appends the change, then its response to the operator is lost. If the
    command only reported a failure, the operator would send a second, different
    change. With the same record id a retry takes effect only once.
    """
    stand_in.drops_responses = True
    code, _, err = run('endpoint', 'drain', 'engine-1', *CHANGE)
    assert code == ExitCode.UNCONFIRMED
    assert '--record-id r-1' in err


def test_next_instance_is_tried_if_nothing_was_sent(run, stand_in, closed_port):
    addresses = f'127.0.0.1:{closed_port},127.0.0.1:{stand_in.port}'
    assert run('status', '--instances', addresses)[0] == ExitCode.OK
    assert len(stand_in.received) == 1


def test_unreachable_instance_has_its_own_exit_code(run, closed_port):
    code, _, err = run('status', '--instances', f'127.0.0.1:{closed_port}')
    assert code == ExitCode.UNREACHABLE
    assert 'no instance reached' in err


def test_token_is_read_from_a_file(run, stand_in, tmp_path):
    token = tmp_path / 'token'
    token.write_text('from-file\n')
    assert run('status', '--token-file', str(token))[0] == ExitCode.OK
    assert stand_in.received[0].token == 'Bearer from-file'


def test_command_is_sent_over_tls_to_a_trusted_server(run, tls_stand_in):
    assert run('status', '--ca-file', str(CERTIFICATE))[0] == ExitCode.OK
    assert tls_stand_in.received[0].token == 'Bearer operator-token'


def test_untrusted_server_receives_no_token(run, tls_stand_in):
    """Guards against sending the operator's token to an untrusted server.

    Another server listens at the address of an instance, with TLS. Its certificate is
    verified before the command is sent.
    """
    foreign_certificate = CERTIFICATE.parents[2] / 'test_daemon/certificates/first.pem'
    assert (
        run('status', '--ca-file', str(foreign_certificate))[0] == ExitCode.UNREACHABLE
    )
    assert tls_stand_in.received == []


@pytest.mark.parametrize(
    'argv',
    [
        (),
        ('contract',),
        ('nothing',),
        ('status', '--instances', 'nowhere'),
        ('contract', 'amend', 'missing.jsonc', '--why', 'x', '--base-version', '1'),
        ('endpoint', 'drain', 'engine-1'),
    ],
)
def test_invalid_command_line_has_the_usage_exit_code(run, argv):
    assert run(*argv)[0] == ExitCode.USAGE


def test_lists_are_printed_as_tables(run, stand_in):
    rows = [{'endpoint': 'engine-1', 'state': 'active', 'load': 0.25}]
    stand_in.response = (200, 0, {'endpoints': rows})
    _, out, _ = run('endpoint', 'list')
    assert 'engine-1' in out
    assert 'state' in out
    assert '0.25' in out


@pytest.fixture
def closed_port():
    """Return a port on which nothing listens, bound so that it stays unused."""
    with socket.socket() as bound_socket:
        bound_socket.bind(('127.0.0.1', 0))
        yield bound_socket.getsockname()[1]
