"""Tests of the files and steps of the tutorial, with separate processes."""

from __future__ import annotations

import http.client
import json
import re
import signal
import subprocess
import sys
import textwrap
import time
from contextlib import contextmanager
from http import HTTPStatus
from pathlib import Path

import pytest

from savorychute.cmd.connection_arguments import ADDRESS_VARIABLE
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_client import TOKEN_VARIABLE

DOCS = Path(__file__).parents[2] / 'docs'
FILES = DOCS / 'tutorial'
GUIDE = DOCS / 'usage' / 'callers.rst'
ORGANISATION_HEADERS = {'authorization': 'Bearer malanadu-token'}
CHAT = {
    'model': 'pump-diagnosis',
    'messages': [{'role': 'user', 'content': 'the pump at the east field is dry'}],
    'max_tokens': 20,
}


@contextmanager
def start_process(*argv: str):
    """Run a command as a separate process and kill it at the end."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'savorychute', *argv],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.fixture(scope='module')
def platform():
    """Run the stand-ins; return their ports by name."""
    port_options = ('--log-port', '--list-port', '--engine-port', '--service-port')
    argv = [item for option in port_options for item in (option, '0')]
    with start_process('stand-ins', *argv) as process:
        lines = [process.stdout.readline().split() for _ in range(5)]
        yield {name: int(port) for name, port in lines}
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


@pytest.fixture(scope='module')
def directory(platform, tmp_path_factory):
    """Copy the tutorial's files, with the ports chosen by the system."""
    ports = {
        '7000': platform['log'],
        '7001': platform['list'],
        '7100': platform['engine-1'],
        '7200': platform['visit-log'],
        '8080': 0,
        '8081': 0,
    }
    copied = tmp_path_factory.mktemp('tutorial')
    for path in FILES.glob('*.jsonc'):
        text = re.sub(
            r'\b(7000|7001|7100|7200|8080|8081)\b',
            lambda match: str(ports[match[0]]),
            path.read_text(),
        )
        (copied / path.name).write_text(text)
    return copied


@pytest.fixture
def instance(directory, monkeypatch):
    """Run the instance; return its process and the port for callers."""
    with start_process('serve', str(directory / 'kochi-1.jsonc')) as process:
        line = json.loads(process.stdout.readline())
        assert line['message_type'] == 'instance-started'
        monkeypatch.setenv(ADDRESS_VARIABLE, line['address'])
        monkeypatch.setenv(TOKEN_VARIABLE, 'operator-token')
        monkeypatch.setenv('SAVORYCHUTE_TOKEN', 'malanadu-token')
        yield process, int(line['address'].rpartition(':')[2])


def check_callers_guide(port):
    """Run the program in the guide for callers as a separate process."""
    text = GUIDE.read_text('utf-8').split('.. code-block:: python\n', 1)[1]
    program = textwrap.dedent(text.split('\n\nWhat an end means', 1)[0])
    completed = subprocess.run(
        [sys.executable, '-c', program.replace('8080', str(port))],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.endswith('200 visit-log-1\n')


def send_request(port, method, path, body=None, **headers):
    """Send one request; return status, headers and body."""
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=20)
    request_headers = {
        **ORGANISATION_HEADERS,
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    connection.request(
        method, path, json.dumps(body) if body else None, request_headers
    )
    response = connection.getresponse()
    response_text = response.read().decode()
    connection.close()
    return response.status, response.headers, response_text


def test_settings_of_the_tutorial_have_no_faults(run):
    path = FILES / 'kochi-1.jsonc'
    assert run('check', str(path)) == (ExitCode.OK, f'{path}: no faults\n', '')


def test_steps_of_the_tutorial_succeed(run, directory, instance):
    process, port = instance
    while send_request(port, 'GET', '/readyz')[0] != HTTPStatus.OK:
        time.sleep(0.02)
    contract = str(directory / 'malanadu.jsonc')
    amend = ('contract', 'amend', contract, '--base-version', '0', '--why', 'first')
    assert run(*amend)[0] == ExitCode.OK
    for name in ('engine-1', 'visit-log'):
        path = str(directory / f'{name}.jsonc')
        assert run('endpoint', 'add', path, '--why', 'first')[0] == ExitCode.OK

    chat = '/v1/chat/completions'
    status, headers, response_text = send_request(
        port, 'POST', chat, CHAT, x_request_class='diagnosis'
    )
    assert (status, headers['x-result-code'], headers['x-endpoint']) == (
        200,
        '0',
        'engine-1',
    )
    assert json.loads(response_text)['choices'][0]['message']['content']
    request_id = headers['x-request-id']
    code, out, _ = run('explain', request_id, '--json')
    assert code == ExitCode.OK
    assert json.loads(out)['outcome']['code'] == 'OK'

    ask_model = ('call', 'diagnosis', '--model', 'pump-diagnosis', 'no water')
    code, out, _ = run(*ask_model, '--max-tokens', '8', '--json')
    assert code == ExitCode.OK
    assert json.loads(out)['tokens'] == 8
    assert len(run(*ask_model, '--max-tokens', '8')[1].split()) == 8
    book_visit = (
        'call',
        'visit',
        '--service',
        'visit-log',
        '--path',
        '/visits',
        '--once',
    )
    code, out, _ = run(*book_visit, '{"pump": 7}')
    assert code == ExitCode.OK
    assert out.startswith('POST /visits')
    check_callers_guide(port)
    misspelt_class = ('call', 'dignosis', '--model', 'pump-diagnosis', 'x')
    code, out, err = run(*misspelt_class, '--timeout-ms', '500', '--json')
    assert code == ExitCode.REFUSED
    assert json.loads(out)['error']['code'] == 1006
    assert 'not-run' in err

    key = json.loads(send_request(port, 'POST', '/v1/keys')[2])['key']
    visits = '/v1/services/visit-log/visits'
    responses = [
        send_request(
            port,
            'POST',
            visits,
            {'pump': 7},
            x_request_class='visit',
            x_request_key=key,
        )
        for _ in range(2)
    ]
    assert responses[0][0] == responses[1][0] == 200
    assert responses[0][2] == responses[1][2]
    assert responses[0][1]['x-attempt-id']
    assert not responses[1][1]['x-attempt-id']

    status, headers, _ = send_request(
        port, 'POST', chat, CHAT, x_request_class='dignosis'
    )
    assert (status, headers['x-result-code']) == (400, '1006')
    assert (
        'savorychute_goodput_total{class="visit"'
        in send_request(port, 'GET', '/metrics')[2]
    )

    drain = ('endpoint', 'drain', 'engine-1', '--why', 'repair')
    assert run(*drain)[0] == ExitCode.OK
    listed = json.loads(run('endpoint', 'list', '--json')[1])['endpoints']
    usable = {entry['endpoint']: entry['usable'] for entry in listed}
    assert usable == {'engine-1': False, 'visit-log-1': True}

    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
    lines = process.stdout.read()
    assert 'instance-stopped' in lines
    assert 'east field' not in lines
    assert 'malanadu-token' not in lines
