"""Issued keys: one issuer runs, one witness decides."""

from __future__ import annotations

import pytest

from savorychute.errors import RequestError
from savorychute.ran import Ran
from savorychute.requests import (
    KeyElsewhere,
    KeyMayRun,
    KeyRefused,
    KeyReplay,
    StartDenied,
    StartPermitted,
    decode_handle,
    parse_key,
)
from savorychute.result_code import ResultCode


def witness_of(key):
    return parse_key(key).witness


def third_of(key):
    return ({'a', 'b', 'c'} - {parse_key(key).instance, witness_of(key)}).pop()


def test_start_waits_for_the_witness(scene):
    key = scene.issue('a')
    assert scene.admit('a', 'r1', key) == [KeyMayRun('r1')]
    assert scene.announce('a', 'r1') == []
    assert scene.deliver() == [StartPermitted('r1')]


def test_retry_at_another_instance_is_sent_to_the_issuer(scene):
    key = scene.issue('a')
    assert scene.admit(third_of(key), 'r1', key) == [
        KeyElsewhere('r1', scene.addresses['a'])
    ]


def test_retry_after_the_answer_gets_it_again(scene):
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    scene.announce('a', 'r1')
    scene.deliver()
    assert scene.admit('a', 'r2', key) == []
    waiting = scene.keepers['a'].finish('r1', 201, 'text/plain', b'done', scene.now_ms)
    assert waiting == [KeyReplay('r2', 201, b'done', 'text/plain')]
    assert scene.admit('a', 'r3', key) == [KeyReplay('r3', 201, b'done', 'text/plain')]


def test_key_stands_for_one_request(scene):
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    (refused,) = scene.admit('a', 'r2', key, fingerprint='other')
    assert (refused.code, refused.ran) == (ResultCode.KEY_REUSED, Ran.NOT_RUN)


def test_paused_issuer_cannot_start_a_revoked_key(scene):
    """A caller is told 'not run', and the request runs nevertheless.

    The issuer takes the request up and is paused; its caller gives up and asks
    elsewhere, where the issuer counts as dead; then the issuer wakes and sends.
    """
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    third = third_of(key)
    paused = scene.addresses.pop('a')
    scene.admit(third, 'r2', key)
    (refused,) = scene.deliver()
    assert (refused.request_id, refused.ran) == ('r2', Ran.NOT_RUN)
    scene.addresses['a'] = paused
    scene.announce('a', 'r1')
    (denied,) = scene.deliver()
    assert denied[:3] == ('r1', ResultCode.KEY_REVOKED, Ran.NOT_RUN)


def test_started_key_of_a_dead_issuer_is_unknown_with_a_handle(scene):
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    scene.announce('a', 'r1', stream_id='s7')
    scene.deliver()
    scene.crash('a')
    scene.admit(third_of(key), 'r2', key)
    (refused,) = scene.deliver()
    assert (refused.code, refused.ran) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    handle = decode_handle(refused.handle)
    assert (handle.endpoint, handle.stream_id, handle.offset) == ('e', 's7', 0)


def test_restarted_witness_neither_notes_nor_revokes(scene):
    """A caller is told 'not run', and the request runs nevertheless.

    The witness revokes a key, answers the caller and restarts with an empty
    memory; then the issuer's start notice arrives.
    """
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    scene.announce('a', 'r1')
    scene.start(witness_of(key), 2)
    (denied,) = scene.deliver()
    assert isinstance(denied, StartDenied)
    assert denied.ran is Ran.NOT_RUN
    scene.crash('a')
    (refused,) = scene.admit(third_of(key), 'r2', key)
    assert refused.ran is Ran.UNKNOWN


def test_silent_witness_ends_in_not_run_for_good(scene):
    """A request is told 'not run', and a late acknowledgement starts it.

    The witness's answer is delayed past the issuer's patience.
    """
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    scene.announce('a', 'r1')
    late = list(scene.mail)
    scene.mail.clear()
    scene.now_ms += scene.settings.notice_timeout_ms
    (denied,) = scene.tick('a')
    assert denied[:3] == ('r1', ResultCode.WITNESS_UNAVAILABLE, Ran.NOT_RUN)
    scene.mail = late
    assert scene.deliver() == []
    (refused,) = scene.admit('a', 'r2', key)
    assert isinstance(refused, KeyRefused)
    assert refused.ran is Ran.NOT_RUN


def test_key_older_than_its_lifetime_never_starts(scene):
    key = scene.issue('a')
    scene.now_ms += scene.settings.key_lifetime_ms + 1
    (refused,) = scene.admit('a', 'r1', key)
    assert (refused.code, refused.ran) == (ResultCode.KEY_TOO_OLD, Ran.UNKNOWN)


def test_altered_issue_time_is_noticed(scene):
    fields = scene.issue('a').split(':')
    fields[6] = 'ffffff'
    (refused,) = scene.admit('a', 'r1', ':'.join(fields))
    assert refused.code is ResultCode.KEY_MALFORMED


@pytest.mark.parametrize(
    'text',
    ['', 'k1:a', 'k1:a:x:b:1:1:1:t', 'c0ffee00-0000-4000-8000-000000000000', 'x' * 999],
)
def test_malformed_key_is_refused(text):
    with pytest.raises(RequestError) as raised:
        parse_key(text)
    assert raised.value.code is ResultCode.KEY_MALFORMED


def test_answer_that_was_not_kept_is_not_replayed_in_part(scene):
    """A caller takes an empty answer for the whole one.

    The answer was streamed or too large to keep, its caller lost it and asks
    again under the same key.
    """
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    scene.announce('a', 'r1')
    scene.deliver()
    scene.keepers['a'].finish('r1', 200, 'text/plain', None, scene.now_ms)
    (refused,) = scene.admit('a', 'r2', key)
    assert (refused.code, refused.ran) == (ResultCode.OUTCOME_FORGOTTEN, Ran.RAN)


@pytest.mark.parametrize('is_started', [False, True])
def test_key_of_a_suspect_is_asked_of_its_witness(scene, is_started):
    """A caller hangs until its deadline.

    Its issuer is paused and suspected; another instance sends the caller to it
    although nothing was started there.
    """
    key = scene.issue('a')
    scene.admit('a', 'r1', key)
    if is_started:
        scene.announce('a', 'r1')
        scene.deliver()
    scene.suspects = frozenset({'a'})
    assert scene.admit(third_of(key), 'r2', key) == []
    (outcome,) = scene.deliver()
    if is_started:
        assert outcome == KeyElsewhere('r2', scene.addresses['a'])
    else:
        assert (outcome.code, outcome.ran) == (ResultCode.KEY_REVOKED, Ran.NOT_RUN)
