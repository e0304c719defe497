"""Operators' commands reach an instance and tell what came of them."""

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
SIMPLE = [
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


@pytest.mark.parametrize('argv, verb, document', SIMPLE)
def test_command_sends_its_verb_and_document(run, stand_in, argv, verb, document):
    assert run(*argv)[0] == ExitCode.OK
    [received] = stand_in.received
    assert received.path == f'/v1/operator/{verb}'
    assert received.token == 'Bearer operator-token'
    assert received.document == document
    assert set(document) <= set(VERB_ARGUMENTS[verb].__annotations__)


def test_explain_asks_the_instance_that_had_the_request(run, stand_in):
    """An operator asks about a request, and the first instance never saw it.

    Only the one that answered it knows why it went where it went; its name is
    in the request's id, and any instance knows its address.
    """
    with serve_stand_in(None) as owner:
        entry = {'instance': 'kochi-2', 'host': '127.0.0.1', 'caller_port': owner.port}
        stand_in.answer = (200, 0, {'instances': [entry]})
        owner.answer = (200, 0, {'request_id': 'kochi-2-5f-7', 'history': []})
        code, out, _ = run('explain', 'kochi-2-5f-7', '--json')
        assert code == ExitCode.OK
        assert json.loads(out)['request_id'] == 'kochi-2-5f-7'
        assert [each.path for each in stand_in.received] == [
            '/v1/operator/instance-list'
        ]
        assert [each.document for each in owner.received] == [
            {'request_id': 'kochi-2-5f-7'}
        ]


def test_explain_asks_the_first_when_the_owner_is_gone(run, stand_in):
    stand_in.answer = (404, 1008, {'message': 'did not end here'})
    assert run('explain', 'kochi-9-5f-7')[0] == ExitCode.REFUSED
    assert stand_in.received[-1].document == {'request_id': 'kochi-9-5f-7'}


def test_amendment_carries_the_whole_contract(run, stand_in, contract_file):
    stand_in.answer = (200, 0, {'item': 'contract:malanadu', 'version': 4})
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
    """Two operators amend one contract and the later one never saw the earlier.

    A base version made up by the command would let the later overwrite the
    earlier in silence, so the operator has to name the one that was read.
    """
    code, _, err = run('contract', 'amend', contract_file, '--why', 'x')
    assert code == ExitCode.USAGE
    assert '--base-version' in err
    assert stand_in.received == []


def test_refusal_shows_code_and_reason(run, stand_in):
    conflict = {'message': 'based on 3', 'version': 5}
    stand_in.answer = (409, 4001, conflict)
    code, out, err = run('endpoint', 'drain', 'engine-1', '--why', 'x')
    assert code == ExitCode.REFUSED
    assert out == ''
    assert err.startswith('error 4001: ')
    assert 'based on 3' in err
    assert err.endswith('in force is version 5\n')


def test_unconfirmed_change_has_its_own_exit_code(run, stand_in):
    stand_in.answer = (202, 4003, {'record_id': 'r-1'})
    code, out, err = run('endpoint', 'drain', 'engine-1', *CHANGE, '--json')
    assert code == ExitCode.UNCONFIRMED
    assert json.loads(out) == {'record_id': 'r-1'}
    assert '--record-id r-1' in err


def test_lost_answer_names_the_record_to_send_again(run, stand_in):
    """The instance appends the change, then its answer to the operator is lost.

    Told merely "failed", the operator would send a second, different change.
    The record's id makes the repetition take effect once.
    """
    stand_in.drops_answers = True
    code, _, err = run('endpoint', 'drain', 'engine-1', *CHANGE)
    assert code == ExitCode.UNCONFIRMED
    assert '--record-id r-1' in err


def test_next_instance_is_asked_while_nothing_was_sent(run, stand_in, closed_port):
    both = f'127.0.0.1:{closed_port},127.0.0.1:{stand_in.port}'
    assert run('status', '--instances', both)[0] == ExitCode.OK
    assert len(stand_in.received) == 1


def test_no_instance_at_all(run, closed_port):
    code, _, err = run('status', '--instances', f'127.0.0.1:{closed_port}')
    assert code == ExitCode.UNREACHABLE
    assert 'no instance reached' in err


def test_token_comes_from_a_file(run, stand_in, tmp_path):
    token = tmp_path / 'token'
    token.write_text('from-file\n')
    assert run('status', '--token-file', str(token))[0] == ExitCode.OK
    assert stand_in.received[0].token == 'Bearer from-file'


def test_command_over_tls(run, tls_stand_in):
    assert run('status', '--ca-file', str(CERTIFICATE))[0] == ExitCode.OK
    assert tls_stand_in.received[0].token == 'Bearer operator-token'


def test_certificate_of_a_stranger_gets_no_token(run, tls_stand_in):
    """Somebody else listens at an instance's address, with TLS.

    The certificate is checked before the command is sent, so the operator's
    token does not reach the stranger.
    """
    stranger = CERTIFICATE.parents[2] / 'test_daemon/certificates/first.pem'
    assert run('status', '--ca-file', str(stranger))[0] == ExitCode.UNREACHABLE
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
def test_wrong_command_line(run, argv):
    assert run(*argv)[0] == ExitCode.USAGE


def test_lists_are_printed_as_tables(run, stand_in):
    rows = [{'endpoint': 'engine-1', 'state': 'active', 'load': 0.25}]
    stand_in.answer = (200, 0, {'endpoints': rows})
    _, out, _ = run('endpoint', 'list')
    assert 'engine-1' in out
    assert 'state' in out
    assert '0.25' in out


@pytest.fixture
def closed_port():
    """Return a port on which nothing listens, held so that nothing takes it."""
    with socket.socket() as held:
        held.bind(('127.0.0.1', 0))
        yield held.getsockname()[1]
