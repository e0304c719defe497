"""Tests of caller-supplied keys, of which the first claim in the log runs."""

from __future__ import annotations

import pytest
from claim_fixture import ClaimFixture

from savorychute.ran import Ran
from savorychute.requests import KeyGranted, KeyRedirect, KeyReplay, KeySettings
from savorychute.requests.claim_batch import ClaimBatch
from savorychute.requests.claim_index import ClaimIndex
from savorychute.requests.claim_owner import ClaimOwner
from savorychute.requests.key_manager import NO_DEADLINE_MS
from savorychute.result_code import ResultCode


@pytest.fixture
def claims():
    return ClaimFixture()


def code_and_ran(outcome):
    return outcome.code, outcome.ran


def test_claim_runs_after_it_was_read_back(claims):
    key = claims.make_key()
    assert claims.admit('a', 'r1', key) == []
    assert claims.complete_append() == [KeyGranted('r1')]


def test_second_claim_is_redirected_to_the_first(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.admit('b', 'r2', key)
    assert claims.complete_append() == [KeyGranted('r1')]
    assert claims.complete_append() == [KeyRedirect('r2', claims.addresses['a'])]


def test_concurrent_claims_share_an_append(claims):
    first, *others = (claims.make_key() for _ in range(5))
    claims.admit('a', 'r0', first)
    for number, key in enumerate(others):
        claims.admit('a', f'r{number + 1}', key)
    assert len(claims.appends) == 1
    claims.complete_append()
    claims.advance('a', claims.settings.claim_batch_ms)
    assert len(claims.appends) == 1
    assert claims.complete_append() == [
        KeyGranted(f'r{number}') for number in range(1, 5)
    ]


def test_claim_with_lost_append_reply_is_found_in_the_log(claims):
    """Guards against refusing a request although its claim is in the log.

    The append completes, but its reply is lost.
    """
    claims.admit('a', 'r1', claims.make_key())
    assert claims.complete_append('unknown') == [KeyGranted('r1')]
    claims.advance('a', claims.settings.claim_wait_ms)
    assert claims.appends == []


def test_log_outage_is_reported_at_once_and_key_stays_usable(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    (refused,) = claims.complete_append('refused')
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)
    (refused,) = claims.admit('a', 'r2', key)
    assert refused.code is ResultCode.LOG_UNAVAILABLE
    claims.advance('a', claims.settings.log_retry_ms)
    assert claims.admit('a', 'r3', key) == []
    assert claims.complete_append() == [KeyGranted('r3')]


def test_refusal_during_log_outage_is_unknown(claims):
    """Guards against reporting 'not run' although the request ran.

    The request runs at one instance and the response is lost; the caller retries at
    another instance, which cannot reach the log.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    claims.announce('a', 'r1')
    claims.is_readable = False
    claims.advance('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)


def test_late_claim_is_used_by_the_retry(claims):
    """Guards against a caller that retries without end while the log is slow.

    Each attempt times out before its claim reaches the log.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    (refused,) = claims.advance('a', claims.settings.claim_wait_ms)
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)
    assert claims.complete_append() == []
    claims.advance('a', claims.settings.claim_idle_interval_ms)
    assert claims.admit('a', 'r2', key) == [KeyGranted('r2')]


def test_claim_of_a_crashed_instance_is_unknown(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    claims.crash('a')
    claims.admit('b', 'r2', key)
    (refused,) = claims.complete_append()
    assert code_and_ran(refused) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_other_instances_report_not_run_after_a_release(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    claims.managers['a'].settle_not_run('r1', claims.now_ms)
    claims.advance('a', claims.settings.claim_batch_ms)
    claims.complete_append()
    claims.crash('a')
    claims.advance('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.KEY_REVOKED, Ran.NOT_RUN)


def test_replay_of_a_claimed_key(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    claims.announce('a', 'r1')
    claims.managers['a'].finish('r1', 200, 'text/plain', b'x', claims.now_ms)
    assert claims.admit('a', 'r2', key) == [KeyReplay('r2', 200, b'x', 'text/plain')]


def test_key_older_than_retention_is_refused(claims):
    claims.now_ms += 2 * claims.settings.claim_lifetime_ms
    key = claims.make_key(age_ms=claims.settings.claim_lifetime_ms + 1)
    (refused,) = claims.admit('a', 'r1', key)
    assert code_and_ran(refused) == (ResultCode.KEY_TOO_OLD, Ran.UNKNOWN)


def test_new_instance_does_not_claim_a_key_older_than_it_has_read():
    """Guards against running a request twice.

    It runs under a claim; its caller retries at an instance that started later and
    reads only the end of the log, which does not contain the claim.
    """
    claims = ClaimFixture(KeySettings(claim_backlog_records=2))
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    for number in range(4):
        claims.advance('a', 3_000)
        claims.admit('a', f'x{number}', claims.make_key())
        claims.complete_append()
    claims.start('b', 2)
    claims.advance('b', 1)
    claims.advance('b', 1)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    assert claims.appends == []
    claims.admit('b', 'r3', claims.make_key())
    assert claims.complete_append() == [KeyGranted('r3')]


def test_claim_in_flight_over_a_gap_is_not_decided(claims):
    """Guards against running a request twice.

    An instance claims a key and is paused; an earlier claim of another instance
    expires before the first instance reads it, which then treats its own claim as the
    first.
    """
    key = claims.make_key()
    claims.admit('b', 'r1', key)
    claims.admit('a', 'r2', key)
    claims.appends.append(claims.appends.pop(0))
    claims.appends.append(claims.appends.pop(0))
    assert claims.complete_append() == [KeyGranted('r1')]
    claims.expired = 1
    (refused,) = claims.complete_append()
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)


def test_restarted_owner_does_not_run_its_old_claim(claims):
    """Guards against running a request twice.

    Its instance runs it, crashes and restarts without any state; the claim in the log
    has the name of the instance.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.complete_append()
    claims.start('a', 2)
    claims.advance('a', 1)
    claims.advance('a', 1)
    (refused,) = claims.admit('a', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_claim_evicted_from_a_full_index_is_not_claimed_again():
    """Guards against running a request twice.

    After many further claims an instance evicts the claim from its index.  It must not
    treat the key as new and claim it.
    """
    claims = ClaimFixture(KeySettings(max_claims=2))
    key = claims.make_key()
    claims.admit('a', 'r0', key)
    claims.complete_append()
    for number in range(1, 4):
        claims.advance('a', claims.settings.claim_batch_ms)
        claims.admit('a', f'r{number}', claims.make_key())
        claims.complete_append()
    claims.crash('a')
    claims.advance('b', claims.settings.claim_idle_interval_ms)
    claims.advance('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r9', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    assert claims.appends == []


def test_older_claims_are_dated_only_by_what_a_writer_had_read():
    """Guards against running a request twice.

    A new instance must not assume that the claims before its first offset are older
    than they are, and claim a key that is among them.
    """
    settings = KeySettings()
    margin_ms = 2 * settings.clock_margin_ms
    index = ClaimIndex(settings)
    index.start(10, 100_000)
    owner = ClaimOwner('a', 1)
    index.apply(ClaimBatch('1', owner, 50_000, 9, ()))
    assert index.earliest_decidable_ms == 100_000 + margin_ms
    index.apply(ClaimBatch('2', owner, 60_000, 10, ()))
    assert index.earliest_decidable_ms == 60_000 + margin_ms


def test_key_is_redirected_to_its_home_and_claimed_locally_on_a_retry():
    """Guards against redirecting a caller in a loop.

    It cannot reach the home of its key, and all other instances redirect it there.
    """
    claims = ClaimFixture(KeySettings(claim_homes=1))
    claims.now_ms += claims.settings.claim_idle_interval_ms
    for instance in 'abc':
        claims.tick(instance)
    key = claims.make_key()
    sent = {i: claims.admit(i, f'r{i}', key) for i in 'abc'}
    (home,) = (instance for instance, outcomes in sent.items() if not outcomes)
    other = next(instance for instance in 'abc' if instance != home)
    assert sent[other] == [KeyRedirect(f'r{other}', claims.addresses[home])]
    claims.appends.clear()
    claims.advance(other, claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit(other, 'r8', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    claims.advance(other, 1)
    claims.advance(other, 1)
    assert claims.admit(other, 'r9', key) == []
    assert claims.complete_append() == [KeyGranted('r9')]


def test_instance_that_is_no_home_has_no_due_time_for_claims():
    claims = ClaimFixture(KeySettings(claim_homes=1))
    for instance in 'abc':
        claims.advance(instance, 1)
    due_times_ms = [claims.managers[instance].next_due_ms() for instance in 'abc']
    assert all(due > claims.now_ms for due in due_times_ms)
    assert due_times_ms.count(NO_DEADLINE_MS) == 2
