"""Keys that callers bring: the first claim in the log wins."""

from __future__ import annotations

import pytest
from claim_scene import ClaimScene

from savorychute.ran import Ran
from savorychute.requests import KeyElsewhere, KeyMayRun, KeyReplay, KeySettings
from savorychute.requests.claim_batch import ClaimBatch
from savorychute.requests.claim_index import ClaimIndex
from savorychute.requests.claim_owner import ClaimOwner
from savorychute.requests.key_keeper import NEVER_MS
from savorychute.result_code import ResultCode


@pytest.fixture
def claims():
    return ClaimScene()


def code_and_ran(outcome):
    return outcome.code, outcome.ran


def test_claim_runs_once_it_is_read_back(claims):
    key = claims.make_key()
    assert claims.admit('a', 'r1', key) == []
    assert claims.land() == [KeyMayRun('r1')]


def test_second_claim_loses(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.admit('b', 'r2', key)
    assert claims.land() == [KeyMayRun('r1')]
    assert claims.land() == [KeyElsewhere('r2', claims.addresses['a'])]


def test_claims_that_come_together_share_an_append(claims):
    first, *others = (claims.make_key() for _ in range(5))
    claims.admit('a', 'r0', first)
    for number, key in enumerate(others):
        claims.admit('a', f'r{number + 1}', key)
    assert len(claims.appends) == 1
    claims.land()
    claims.wait('a', claims.settings.claim_batch_ms)
    assert len(claims.appends) == 1
    assert claims.land() == [KeyMayRun(f'r{number}') for number in range(1, 5)]


def test_lost_append_reply_is_looked_up(claims):
    """A request is refused although its claim is in the log.

    The append takes effect and its reply is lost.
    """
    claims.admit('a', 'r1', claims.make_key())
    assert claims.land('unknown') == [KeyMayRun('r1')]
    claims.wait('a', claims.settings.claim_wait_ms)
    assert claims.appends == []


def test_log_down_is_said_at_once_and_leaves_the_key_usable(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    (refused,) = claims.land('refused')
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)
    (refused,) = claims.admit('a', 'r2', key)
    assert refused.code is ResultCode.LOG_UNAVAILABLE
    claims.wait('a', claims.settings.log_retry_ms)
    assert claims.admit('a', 'r3', key) == []
    assert claims.land() == [KeyMayRun('r3')]


def test_refusal_without_the_log_does_not_say_not_run(claims):
    """A caller is told 'not run' although its request ran.

    Its first copy ran at one instance and the answer was lost; it comes again
    to another instance, which cannot reach the log.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    claims.announce('a', 'r1')
    claims.is_readable = False
    claims.wait('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)


def test_claim_that_lands_late_serves_the_retry(claims):
    """A caller retries for ever while the log is slow.

    Each try is given up before its claim lands.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    (refused,) = claims.wait('a', claims.settings.claim_wait_ms)
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)
    assert claims.land() == []
    claims.wait('a', claims.settings.claim_idle_interval_ms)
    assert claims.admit('a', 'r2', key) == [KeyMayRun('r2')]


def test_claim_of_a_dead_instance_is_unknown(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    claims.crash('a')
    claims.admit('b', 'r2', key)
    (refused,) = claims.land()
    assert code_and_ran(refused) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_not_run_is_told_by_others_after_a_release(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    claims.keepers['a'].not_run('r1', claims.now_ms)
    claims.wait('a', claims.settings.claim_batch_ms)
    claims.land()
    claims.crash('a')
    claims.wait('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.KEY_REVOKED, Ran.NOT_RUN)


def test_replay_of_a_claimed_key(claims):
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    claims.announce('a', 'r1')
    claims.keepers['a'].finish('r1', 200, 'text/plain', b'x', claims.now_ms)
    assert claims.admit('a', 'r2', key) == [KeyReplay('r2', 200, b'x', 'text/plain')]


def test_key_older_than_retention_is_refused(claims):
    claims.now_ms += 2 * claims.settings.claim_lifetime_ms
    key = claims.make_key(age_ms=claims.settings.claim_lifetime_ms + 1)
    (refused,) = claims.admit('a', 'r1', key)
    assert code_and_ran(refused) == (ResultCode.KEY_TOO_OLD, Ran.UNKNOWN)


def test_new_instance_does_not_claim_what_it_cannot_know():
    """A renewal is booked twice.

    It ran under a claim; its caller retries at an instance that started after
    and reads only the end of the log, where that claim no longer is.
    """
    claims = ClaimScene(KeySettings(claim_backlog_records=2))
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    for number in range(4):
        claims.wait('a', 3_000)
        claims.admit('a', f'x{number}', claims.make_key())
        claims.land()
    claims.start('b', 2)
    claims.wait('b', 1)
    claims.wait('b', 1)
    (refused,) = claims.admit('b', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    assert claims.appends == []
    claims.admit('b', 'r3', claims.make_key())
    assert claims.land() == [KeyMayRun('r3')]


def test_claim_on_its_way_over_a_gap_is_not_decided(claims):
    """A request runs twice.

    An instance claims a key and is paused; another one's earlier claim expires
    unread, and the first one takes its own claim for the first.
    """
    key = claims.make_key()
    claims.admit('b', 'r1', key)
    claims.admit('a', 'r2', key)
    claims.appends.append(claims.appends.pop(0))
    claims.appends.append(claims.appends.pop(0))
    assert claims.land() == [KeyMayRun('r1')]
    claims.expired = 1
    (refused,) = claims.land()
    assert code_and_ran(refused) == (ResultCode.LOG_UNAVAILABLE, Ran.UNKNOWN)


def test_restarted_owner_does_not_run_its_old_claim(claims):
    """A renewal is booked twice.

    Its instance ran it, crashed and came back with nothing in memory; the
    claim in the log bears the instance's name.
    """
    key = claims.make_key()
    claims.admit('a', 'r1', key)
    claims.land()
    claims.start('a', 2)
    claims.wait('a', 1)
    claims.wait('a', 1)
    (refused,) = claims.admit('a', 'r2', key)
    assert code_and_ran(refused) == (ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_claim_dropped_for_room_is_not_claimed_anew():
    """A renewal is booked twice.

    So many claims came after the first one that an instance dropped it, took
    the key for a new one and claimed it.
    """
    claims = ClaimScene(KeySettings(max_claims=2))
    key = claims.make_key()
    claims.admit('a', 'r0', key)
    claims.land()
    for number in range(1, 4):
        claims.wait('a', claims.settings.claim_batch_ms)
        claims.admit('a', f'r{number}', claims.make_key())
        claims.land()
    claims.crash('a')
    claims.wait('b', claims.settings.claim_idle_interval_ms)
    claims.wait('b', claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit('b', 'r9', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    assert claims.appends == []


def test_only_what_a_writer_had_seen_dates_older_claims():
    """A renewal is booked twice.

    A new instance takes claims before its first offset for older than they
    are, and claims a key among them.
    """
    settings = KeySettings()
    margin_ms = 2 * settings.clock_margin_ms
    index = ClaimIndex(settings)
    index.start(10, 100_000)
    owner = ClaimOwner('a', 1)
    index.fold(ClaimBatch('1', owner, 50_000, 9, ()))
    assert index.floor_ms == 100_000 + margin_ms
    index.fold(ClaimBatch('2', owner, 60_000, 10, ()))
    assert index.floor_ms == 60_000 + margin_ms


def test_key_goes_to_its_home_and_is_claimed_here_if_that_is_in_vain():
    """A caller is sent in a circle.

    Its key's home is out of its reach, and every other instance sends it there.
    """
    claims = ClaimScene(KeySettings(claim_homes=1))
    claims.now_ms += claims.settings.claim_idle_interval_ms
    for instance in 'abc':
        claims.tick(instance)
    key = claims.make_key()
    sent = {i: claims.admit(i, f'r{i}', key) for i in 'abc'}
    (home,) = (instance for instance, outcomes in sent.items() if not outcomes)
    other = next(instance for instance in 'abc' if instance != home)
    assert sent[other] == [KeyElsewhere(f'r{other}', claims.addresses[home])]
    claims.appends.clear()
    claims.wait(other, claims.settings.claim_idle_interval_ms)
    (refused,) = claims.admit(other, 'r8', key)
    assert code_and_ran(refused) == (ResultCode.NOT_READY, Ran.UNKNOWN)
    claims.wait(other, 1)
    claims.wait(other, 1)
    assert claims.admit(other, 'r9', key) == []
    assert claims.land() == [KeyMayRun('r9')]


def test_instance_that_claims_nothing_is_not_woken_for_claims():
    claims = ClaimScene(KeySettings(claim_homes=1))
    for instance in 'abc':
        claims.wait(instance, 1)
    dues = [claims.keepers[instance].next_due_ms() for instance in 'abc']
    assert all(due > claims.now_ms for due in dues)
    assert dues.count(NEVER_MS) == 2
