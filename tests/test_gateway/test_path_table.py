"""Tests of the record of lost paths."""

from __future__ import annotations

from savorychute.gateway.paths.path_table import FORGET_MS, RACE_DELAY_MS, PathTable
from savorychute.http.client_pool import ServerAddress

FIRST, SECOND, THIRD = (ServerAddress('10.0.0.1', port) for port in (1, 2, 3))
NOW_MS = 1_000_000


def make_isolated():
    """Return a table of an instance that reaches no endpoint by itself."""
    paths = PathTable()
    paths.record_connected(THIRD, NOW_MS - 1)
    for address in (FIRST, SECOND):
        paths.record_bypassed(address, NOW_MS, hung=True)
    return paths


def count_direct_tries(paths, address, duration_ms):
    return sum(
        paths.plan(address, NOW_MS + elapsed_ms).tries_direct
        for elapsed_ms in range(0, duration_ms, 50)
    )


def test_direct_connection_has_a_head_start_while_nothing_fails():
    """Guards against tunnels on days without failures."""
    plan = PathTable().plan(FIRST, NOW_MS)
    assert plan.tries_direct
    assert plan.tunnel_delay_ms == RACE_DELAY_MS


def test_lost_path_is_retried_by_few_connections():
    """Guards against a direct attempt with each request while a path is lost."""
    paths = PathTable()
    paths.record_bypassed(FIRST, NOW_MS, hung=False)
    assert 3 <= count_direct_tries(paths, FIRST, 10_000) <= 10


def test_path_that_works_again_is_used_at_once():
    """Guards against tunnels that stay in use after the path is back."""
    paths = PathTable()
    paths.record_bypassed(FIRST, NOW_MS, hung=True)
    paths.record_connected(FIRST, NOW_MS + 1)
    assert not paths.is_lost(FIRST)
    assert paths.plan(FIRST, NOW_MS + 1).tunnel_delay_ms == RACE_DELAY_MS


def test_path_to_an_endpoint_that_is_gone_is_forgotten():
    """Guards against retries for ever of an endpoint that no tunnel reaches either."""
    paths = PathTable()
    paths.record_bypassed(FIRST, NOW_MS, hung=True)
    assert paths.find_due_retry(NOW_MS + FORGET_MS) == FIRST
    assert paths.find_due_retry(NOW_MS + FORGET_MS + 1) is None
    assert not paths.has_lost


def test_isolation_ends_when_no_tunnel_reaches_an_endpoint_either():
    """Guards against failures of endpoints that are put down to a lost path for ever."""
    paths = make_isolated()
    changes = []
    paths.on_change = changes.append
    paths.find_due_retry(NOW_MS + FORGET_MS + 1)
    assert not paths.is_isolated
    assert changes == [False]


def test_one_lost_path_is_not_isolation():
    """Guards against an instance that counts as cut off for one lost endpoint."""
    paths = PathTable()
    paths.record_bypassed(FIRST, NOW_MS, hung=True)
    assert not paths.is_isolated


def test_paths_lost_beside_one_that_works_are_not_isolation():
    """Guards against an instance that counts as cut off while it reaches a service."""
    paths = make_isolated()
    assert paths.is_isolated
    paths.record_connected(THIRD, NOW_MS + 1)
    assert not paths.is_isolated
    assert paths.is_lost(FIRST)


def test_end_of_isolation_lets_all_paths_be_retried():
    """Guards against seconds of tunnels to endpoints after a cut has healed."""
    paths = make_isolated()
    for address in (FIRST, SECOND):
        paths.plan(address, NOW_MS + 300)
    paths.record_connected(FIRST, NOW_MS + 301)
    assert paths.plan(SECOND, NOW_MS + 301).tries_direct


def test_one_hung_connection_does_not_give_up_the_open_ones():
    """Guards against closing connections for a lost packet."""
    paths = PathTable()
    paths.record_connected(SECOND, NOW_MS)
    paths.record_bypassed(FIRST, NOW_MS + 1, hung=True)
    assert not paths.is_silent(FIRST)
    paths.record_bypassed(FIRST, NOW_MS + 2, hung=True)
    assert paths.is_silent(FIRST)


def test_open_connections_stay_while_new_ones_are_refused():
    """Guards against closing connections that live on through a cut."""
    paths = PathTable()
    for address in (FIRST, SECOND):
        paths.record_bypassed(address, NOW_MS, hung=False)
    assert paths.is_isolated
    assert not paths.is_silent(FIRST)


def test_isolation_reports_each_silent_path_once():
    """Guards against attempts that are not told that their connection hangs."""
    paths = PathTable()
    silent, changes = [], []
    paths.on_silent = silent.append
    paths.on_change = changes.append
    paths.record_bypassed(FIRST, NOW_MS, hung=True)
    paths.record_bypassed(SECOND, NOW_MS, hung=True)
    paths.record_bypassed(SECOND, NOW_MS, hung=True)
    assert sorted(silent) == [FIRST, SECOND]
    paths.record_connected(FIRST, NOW_MS + 1)
    assert changes == [True, False]
