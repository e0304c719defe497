"""Tests of the quarantine over random histories of several instances."""

from __future__ import annotations

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from poison_history import POISON, HistoryPlan, PoisonHistory

plans = st.builds(
    HistoryPlan,
    instances=st.integers(2, 9),
    endpoints=st.integers(3, 10),
    innocents=st.integers(0, 600),
    poisons=st.just(1),
    copies=st.just(1),
    delay_ms=st.just(2),
    attempts=st.integers(1, 3),
    duration_ms=st.integers(20, 800),
    restart_ms=st.integers(100, 4_000),
    resend_ms=st.integers(5, 1_000),
    loss_share=st.sampled_from((0.0, 0.02)),
    end_ms=st.just(12_000),
)


@settings(max_examples=40, derandomize=True, deadline=None, phases=(Phase.generate,))
@given(plan=plans, seed=st.integers(0, 10_000))
def test_poison_request_crashes_at_most_two_endpoints(plan, seed):
    """Guards against one request that crashes endpoint after endpoint.

    It crashes every endpoint that runs it.  Its instance retries it, and its
    caller sends it again, under new keys and to any instance.
    """
    history = PoisonHistory(plan, seed).run()

    crashed = history.crashed_by[f'{POISON}0']
    assert len(set(crashed)) <= 2
    assert history.quarantined <= {f'{POISON}0'}


@settings(max_examples=20, derandomize=True, deadline=None, phases=(Phase.generate,))
@given(plan=plans, poisons=st.integers(2, 4), seed=st.integers(0, 10_000))
def test_bound_holds_for_several_poison_requests(plan, poisons, seed):
    """A second poison request appears before the first one is quarantined.

    An innocent suspect of the first runs where the second crashes an endpoint.
    If one poison request were cleared because the other is quarantined, it
    would crash more endpoints.
    """
    history = PoisonHistory(plan._replace(poisons=poisons), seed).run()

    for crashed in history.crashed_by.values():
        assert len(set(crashed)) <= 2


def test_innocent_requests_are_answered_while_suspects_are_run():
    plan = HistoryPlan(innocents=2_000)
    history = PoisonHistory(plan, 4).run()

    unanswered = [
        name for name in history.started_ms if name not in history.answered_ms
    ]
    assert unanswered == [f'{POISON}0']
    assert history.quarantined == {f'{POISON}0'}
