"""Tests for the application and its extensions."""

from __future__ import annotations

import sys
import types

import pytest

from savorychute.actions import StartAttempt
from savorychute.application import Application
from savorychute.config import build_settings
from savorychute.errors import SettingsError
from savorychute.inputs import AttemptEnded, AttemptSent, AttemptStarted
from savorychute.logs import InstanceLog
from savorychute.testing.solo import Solo, make_contract, make_engine, make_request

NAME = 'savorychute_test_extension'
DOCUMENT = {
    'instance': 'entry-1',
    'region': 'north',
    'failure_domain': 'hall-1',
    'host': '127.0.0.1',
    'log_address': '127.0.0.1:1',
    'list_address': '127.0.0.1:2',
    'operator_token_hashes': {},
    'peer_keys': [{'key_id': 1, 'secret': '00' * 16}],
}


@pytest.fixture
def extension(monkeypatch):
    module = types.ModuleType(NAME)
    module.received = []
    module.setup = lambda application: application.connect(
        'request-finished', module.received.append
    )
    monkeypatch.setitem(sys.modules, NAME, module)
    return module


def test_extension_receives_finished_requests(extension):
    settings = build_settings({**DOCUMENT, 'extensions': [NAME]})
    solo = Solo(contracts=[make_contract()], endpoints=[make_engine('engine-1')])
    log = InstanceLog('entry-1')
    Application(settings, solo.instance, log).set_up_extensions()
    solo.run_for(5_000)

    solo.deliver(make_request('r1'))
    attempt_id = solo.find(StartAttempt)[0].attempt_id
    solo.deliver(AttemptSent(attempt_id))
    solo.deliver(AttemptStarted(attempt_id, 200, 'text/event-stream', 's'))
    solo.deliver(AttemptEnded(attempt_id, 0))

    assert [outcome.request_id for outcome in extension.received] == ['r1']


@pytest.mark.parametrize('name', ['no_such_module_anywhere', 'json'])
def test_invalid_extension_module_is_refused(name):
    with pytest.raises(SettingsError, match=name):
        build_settings({**DOCUMENT, 'extensions': [name]})
