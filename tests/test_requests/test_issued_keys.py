"""Tests of issued keys, which run only at their issuer and with its witness."""

from __future__ import annotations

import pytest

from savorychute.errors import RequestError
from savorychute.ran import Ran
from savorychute.requests import (
    KeyGranted,
    KeyRedirect,
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


def test_start_waits_for_the_witness(cluster):
    key = cluster.issue('a')
    assert cluster.admit('a', 'r1', key) == [KeyGranted('r1')]
    assert cluster.announce('a', 'r1') == []
    assert cluster.deliver() == [StartPermitted('r1')]


def test_retry_at_another_instance_is_redirected_to_the_issuer(cluster):
    key = cluster.issue('a')
    assert cluster.admit(third_of(key), 'r1', key) == [
        KeyRedirect('r1', cluster.addresses['a'])
    ]


def test_retry_after_the_response_gets_a_replay(cluster):
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    cluster.announce('a', 'r1')
    cluster.deliver()
    assert cluster.admit('a', 'r2', key) == []
    waiting = cluster.managers['a'].finish(
        'r1', 201, 'text/plain', b'done', cluster.now_ms
    )
    assert waiting == [KeyReplay('r2', 201, b'done', 'text/plain')]
    assert cluster.admit('a', 'r3', key) == [
        KeyReplay('r3', 201, b'done', 'text/plain')
    ]


def test_key_is_valid_for_one_request_only(cluster):
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    (refused,) = cluster.admit('a', 'r2', key, fingerprint='other')
    assert (refused.code, refused.ran) == (ResultCode.KEY_REUSED, Ran.NOT_RUN)


def test_paused_issuer_cannot_start_a_revoked_key(cluster):
    """Guards against reporting 'not run' for a request that runs later.

    The issuer grants the key and is paused; the caller retries at another instance,
    which considers the issuer failed; then the issuer resumes and sends the request.
    """
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    third = third_of(key)
    paused = cluster.addresses.pop('a')
    cluster.admit(third, 'r2', key)
    (refused,) = cluster.deliver()
    assert (refused.request_id, refused.ran) == ('r2', Ran.NOT_RUN)
    cluster.addresses['a'] = paused
    cluster.announce('a', 'r1')
    (denied,) = cluster.deliver()
    assert denied[:3] == ('r1', ResultCode.KEY_REVOKED, Ran.NOT_RUN)


def test_started_key_of_a_crashed_issuer_is_unknown_with_a_handle(cluster):
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    cluster.announce('a', 'r1', stream_id='s7')
    cluster.deliver()
    cluster.crash('a')
    cluster.admit(third_of(key), 'r2', key)
    (refused,) = cluster.deliver()
    assert (refused.code, refused.ran) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    handle = decode_handle(refused.handle)
    assert (handle.endpoint, handle.stream_id, handle.offset) == ('e', 's7', 0)


def test_restarted_witness_neither_records_nor_revokes(cluster):
    """Guards against reporting 'not run' for a request that runs later.

    The witness revokes a key, reports that and restarts without any state; then the
    start notice of the issuer arrives.
    """
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    cluster.announce('a', 'r1')
    cluster.start(witness_of(key), 2)
    (denied,) = cluster.deliver()
    assert isinstance(denied, StartDenied)
    assert denied.ran is Ran.NOT_RUN
    cluster.crash('a')
    (refused,) = cluster.admit(third_of(key), 'r2', key)
    assert refused.ran is Ran.UNKNOWN


def test_unresponsive_witness_settles_the_key_as_not_run(cluster):
    """Guards against a late response of the witness that starts a request.

    It arrives after the timeout of the issuer, which has reported 'not run'.
    """
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    cluster.announce('a', 'r1')
    late = list(cluster.in_flight)
    cluster.in_flight.clear()
    cluster.now_ms += cluster.settings.notice_timeout_ms
    (denied,) = cluster.tick('a')
    assert denied[:3] == ('r1', ResultCode.WITNESS_UNAVAILABLE, Ran.NOT_RUN)
    cluster.in_flight = late
    assert cluster.deliver() == []
    (refused,) = cluster.admit('a', 'r2', key)
    assert isinstance(refused, KeyRefused)
    assert refused.ran is Ran.NOT_RUN


def test_key_older_than_its_lifetime_never_starts(cluster):
    key = cluster.issue('a')
    cluster.now_ms += cluster.settings.key_lifetime_ms + 1
    (refused,) = cluster.admit('a', 'r1', key)
    assert (refused.code, refused.ran) == (ResultCode.KEY_TOO_OLD, Ran.UNKNOWN)


def test_altered_issue_time_is_refused(cluster):
    fields = cluster.issue('a').split(':')
    fields[6] = 'ffffff'
    (refused,) = cluster.admit('a', 'r1', ':'.join(fields))
    assert refused.code is ResultCode.KEY_MALFORMED


@pytest.mark.parametrize(
    'text',
    ['', 'k1:a', 'k1:a:x:b:1:1:1:t', 'c0ffee00-0000-4000-8000-000000000000', 'x' * 999],
)
def test_malformed_key_is_refused(text):
    with pytest.raises(RequestError) as raised:
        parse_key(text)
    assert raised.value.code is ResultCode.KEY_MALFORMED


def test_response_that_was_not_stored_is_not_replayed(cluster):
    """Guards against an empty response that looks like the complete one.

    The response was streamed or too large to be stored; the caller lost it and retries
    with the same key.
    """
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    cluster.announce('a', 'r1')
    cluster.deliver()
    cluster.managers['a'].finish('r1', 200, 'text/plain', None, cluster.now_ms)
    (refused,) = cluster.admit('a', 'r2', key)
    assert (refused.code, refused.ran) == (ResultCode.OUTCOME_FORGOTTEN, Ran.RAN)


@pytest.mark.parametrize('is_started', [False, True])
def test_key_of_a_suspected_issuer_is_queried_at_its_witness(cluster, is_started):
    """Guards against a caller that hangs until its deadline.

    The issuer is paused and suspected; another instance must not redirect the caller
    to it unless it has started the key.
    """
    key = cluster.issue('a')
    cluster.admit('a', 'r1', key)
    if is_started:
        cluster.announce('a', 'r1')
        cluster.deliver()
    cluster.suspects = frozenset({'a'})
    assert cluster.admit(third_of(key), 'r2', key) == []
    (outcome,) = cluster.deliver()
    if is_started:
        assert outcome == KeyRedirect('r2', cluster.addresses['a'])
    else:
        assert (outcome.code, outcome.ran) == (ResultCode.KEY_REVOKED, Ran.NOT_RUN)
