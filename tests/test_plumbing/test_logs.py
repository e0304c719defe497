"""Log lines can be traced by request, and contain no secrets."""

from __future__ import annotations

import ast
import hashlib
import io
import json
import logging
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import savorychute
from savorychute.log_fields import FIELDS
from savorychute.logs import (
    REMOVED,
    InstanceLog,
    LogLevel,
    capture_library_logs,
    open_log,
)

LEVELS = ('debug', 'info', 'warning', 'error')
TOKEN = 'organisation-token-4711'


@pytest.fixture
def lines():
    """Return a function that returns the lines written during the test."""
    file = io.BytesIO()
    with open_log(file):
        yield lambda: [json.loads(line) for line in file.getvalue().splitlines()]


def test_line_names_instance_request_and_level(lines):
    InstanceLog('a-1').info('request-received', 'q-1', organisation='malanadu', tier=0)
    [line] = lines()
    assert line['message_type'] == 'request-received'
    assert line['instance'] == 'a-1'
    assert line['request_id'] == 'q-1'
    assert line['level'] == 'info'
    assert (line['organisation'], line['tier']) == ('malanadu', 0)


def test_request_is_traced_over_two_instances(lines):
    InstanceLog('a-1').info('request-redirected', 'q-1')
    InstanceLog('a-2').info('request-received', 'q-1')
    InstanceLog('a-2').info('request-received', 'q-2')
    traced = [line['instance'] for line in lines() if line['request_id'] == 'q-1']
    assert traced == ['a-1', 'a-2']


def test_lines_below_the_level_are_dropped(lines):
    log = InstanceLog('a-1', LogLevel.WARNING)
    log.debug('one')
    log.info('two')
    log.warning('three')
    log.error('four')
    assert [line['level'] for line in lines()] == ['warning', 'error']


def test_field_outside_the_table_is_dropped(lines):
    InstanceLog('a-1').info('x', 'q-1', prompt='diagnose', authorization='Bearer-x')
    assert not {'prompt', 'authorization'} & set(lines()[0])


def test_token_in_a_harmless_field_is_removed(lines):
    """A caller mixes up two headers and sends its token as its class.

    The refusal is logged with the unknown class, so the log would contain a valid
    token.  Its digest is known, so the value is removed.
    """
    log = InstanceLog('a-1')
    log.set_token_hashes([hashlib.sha256(TOKEN.encode()).hexdigest()])
    log.info('request-refused', TOKEN, class_name=TOKEN, organisation='malanadu')
    [line] = lines()
    assert TOKEN not in json.dumps(line)
    assert line['class_name'] == REMOVED
    assert line['organisation'] == 'malanadu'


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    field=st.sampled_from(sorted(FIELDS)),
    words=st.lists(st.text(min_size=1, max_size=8), min_size=2, max_size=9),
)
def test_text_with_blanks_is_removed(field, words):
    """An endpoint's error contains the prompt, and it is logged as a reason.

    No field may contain a string with blanks.
    """
    prompt = ' '.join(words)
    file = io.BytesIO()
    with open_log(file):
        InstanceLog('a-1').info('x', 'q-1', **{field: prompt})
    assert json.loads(file.getvalue())[field] == REMOVED


def test_bytes_are_removed(lines):
    InstanceLog('a-1').info('x', reason=b'prompt')  # type: ignore[arg-type]
    assert lines()[0]['reason'] == REMOVED


def test_library_records_are_logged_without_text(lines):
    """A callback fails and asyncio logs the callback's representation.

    The log would then contain the request that the callback refers to.
    """
    log = InstanceLog('a-1')
    with capture_library_logs(log):
        try:
            raise ValueError('the prompt')
        except ValueError:
            logging.getLogger('asyncio').exception('in %r', 'the prompt')
    [line] = lines()
    assert 'prompt' not in json.dumps(line)
    assert (line['logger'], line['error'], line['level']) == (
        'asyncio',
        'ValueError',
        'error',
    )


def test_all_logged_fields_are_in_the_table():
    """A new field is logged but not in the table, so the filter drops it.

    Either the table of fields must be extended, or the call corrected.
    """
    unknown = []
    for path in Path(savorychute.__file__).parent.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text('utf-8'))):
            if isinstance(node, ast.Call) and is_log_call(node):
                names = {keyword.arg for keyword in node.keywords if keyword.arg}
                unknown += [f'{path.name}: {name}' for name in names - set(FIELDS)]
    assert unknown == []


def is_log_call(call: ast.Call) -> bool:
    called = call.func
    if not isinstance(called, ast.Attribute):
        return False
    if called.attr == 'write' and call.args and 'LogLevel' in ast.dump(call.args[0]):
        return True
    if called.attr not in LEVELS:
        return False
    owner = called.value
    name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, 'id', '')
    return name.lstrip('_') == 'log'
