"""Tests of endpoints that restart under the same name."""

from __future__ import annotations

import pytest
from gateway_fakes import STREAM, make_entry, make_prompt
from hypothesis import given
from hypothesis import strategies as st

from savorychute.clock import ManualClock
from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.request_traits import make_traits
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.engine_load import EngineLoad

FIRST_MS = 1_000_000
SECOND_MS = 1_040_000


@pytest.fixture
def ended():
    return []


@pytest.fixture
def roster(ended):
    roster = EndpointRoster(lambda run, now_ms: ended.append(run), ManualClock())  # noqa: ARG005
    roster.apply(make_entry('d0', born_ms=FIRST_MS, sequence=50))
    return roster


class RecordingAttempt:
    """An attempt that records the end of its endpoint's run."""

    was_notified = False

    def endpoint_run_ended(self):
        self.was_notified = True


def runs(roster):
    return [record.entry.run for record in roster.usable('desk')]


def test_drain_of_a_new_run_is_accepted(roster):
    """Guards against a leaving endpoint that continues to get requests.

    It crashes after report 50, restarts under its name with a new sequence, and drains
    at once.  Its report is the first of the new run and was considered an old one.
    """
    roster.apply(
        make_entry('d0', born_ms=SECOND_MS, sequence=1, draining=True),
    )

    assert runs(roster) == []


def test_ended_endpoint_can_start_again(roster):
    """Guards against an endpoint that gets no requests after its restart.

    Another endpoint responds at its address, which proves the end of its run; then it
    restarts under its name.
    """
    roster.record_end(EndpointRun('d0', FIRST_MS))
    assert runs(roster) == []

    roster.apply(make_entry('d0', born_ms=SECOND_MS))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_late_entry_of_old_run_changes_nothing(roster):
    """Guards against an endpoint that is excluded because its previous run drained.

    The old run's last entry, which states that it drains, is delayed for seconds;
    meanwhile the new run has started and registered.
    """
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.apply(make_entry('d0', born_ms=FIRST_MS, sequence=51, draining=True))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_new_run_does_not_inherit_health(roster, ended):
    old = roster.get('d0')
    old.health.record_unresponsive(FIRST_MS)
    attempt = RecordingAttempt()
    old.start_attempt(attempt, 100, FIRST_MS)

    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    new = roster.get('d0')

    assert ended == [EndpointRun('d0', FIRST_MS)]
    assert old.run_ended
    assert attempt.was_notified
    assert (new.outstanding, new.health.failure_share(SECOND_MS)) == (0, 0.0)


def test_late_proof_of_end_applies_to_old_run_only(roster):
    """Guards against a healthy endpoint that gets no requests.

    A request to the old run is in progress while the new one registers; its response
    proves the end of the old run.
    """
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.record_end(EndpointRun('d0', FIRST_MS))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_run_is_accepted_after_its_clock_was_set_back(roster):
    """Guards against a run that is ignored because it seems older than the last one.

    Its clock was set back between the two starts.  A single such report may be a late
    one of an older run; continued reports, without any of the other run, are not.
    """
    for sequence in (1, 2):
        roster.apply(make_entry('d0', born_ms=900, sequence=sequence))
    assert runs(roster) == [EndpointRun('d0', FIRST_MS)]

    roster.apply(make_entry('d0', born_ms=900, sequence=3))

    assert runs(roster) == [EndpointRun('d0', 900)]


def test_each_of_two_quick_restarts_ends_the_previous_run(roster, ended):
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.apply(make_entry('d0', born_ms=SECOND_MS + 500))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS + 500)]
    assert ended == [EndpointRun('d0', FIRST_MS), EndpointRun('d0', SECOND_MS)]


def test_run_that_started_in_a_store_outage_stays_usable(roster):
    """Guards against an endpoint whose old run still counts as missing.

    Its entry expires in an outage and stays in use for a while; the run that registers
    after the outage is a new one.
    """
    roster.store_failed(2_000)
    roster.apply_all([], 2_500)
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.expire(10_000)

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_entry_without_start_time_is_identified_by_name(ended):
    """Older deployments do not report the start time of an endpoint."""
    roster = EndpointRoster(lambda run, now_ms: ended.append(run), ManualClock())  # noqa: ARG005
    roster.apply(make_entry('d0', sequence=3))
    roster.record_end(EndpointRun('d0'))
    roster.apply(make_entry('d0', sequence=4))

    assert runs(roster) == []


ENTRIES = st.lists(
    st.tuples(st.integers(1, 3), st.integers(1, 6), st.booleans()),
    min_size=1,
    max_size=8,
)


@given(ENTRIES, st.randoms(use_true_random=False))
def test_instances_agree_regardless_of_order(entries, rng):
    """Instances that learn of restarts in different orders accept the same run.

    Reports of older runs arrive late, between those of the newest run, which never
    stop; the last report is one of the newest run.
    """
    newest = max(start for start, _, _ in entries)
    last = make_entry('d0', born_ms=newest * 1_000, sequence=99)
    final_runs = []
    for order in (entries, rng.sample(entries, len(entries))):
        roster = EndpointRoster(lambda run, now_ms: None, ManualClock())  # noqa: ARG005
        roster.apply(last._replace(sequence=1))
        for start, sequence, draining in order:
            roster.apply(
                make_entry(
                    'd0', born_ms=start * 1_000, sequence=sequence, draining=draining
                )
            )
            roster.apply(last._replace(sequence=1))
        roster.apply(last)
        final_runs.append(runs(roster))

    assert final_runs == [[last.run], [last.run]]


def test_report_of_a_restarted_engine_ends_the_old_run(gateway):
    """Guards against a prompt sent to an engine for the cache of its previous run.

    The engine has restarted within one heartbeat, so the list does not show it yet; its
    load report does.
    """
    listed = gateway.parts.roster.get('e0').entry
    gateway.parts.roster.apply(listed._replace(born_ms=FIRST_MS))
    record = gateway.parts.roster.get('e0')
    load = EngineLoad(0, 0, 0, 0, born_ms=SECOND_MS)
    gateway.attempts.loads['e0'] = load
    gateway.parts.loads.query(record, lambda is_alive: None)  # noqa: ARG005

    assert record.run_ended
    assert gateway.parts.roster.get('e0').entry.run == EndpointRun('e0', SECOND_MS)


def test_request_at_an_ended_run_is_handled_as_a_crash(gateway):
    """Guards against a caller that waits until its deadline.

    Its engine has lost power and restarts at the same address, so the connection does
    not break and probes reach the new run.
    """
    prompt = make_prompt()
    _, caller = gateway.start('/draft/1', prompt=prompt)
    attempt = gateway.last_attempt
    attempt.start_response(STREAM, b'id: 1\ndata: x\n\n')
    entry = gateway.parts.roster.get(attempt.endpoint).entry

    gateway.parts.roster.apply(entry._replace(born_ms=SECOND_MS))

    assert attempt.cancelled
    assert caller.state == 'cut'


def test_three_crashes_under_one_name_count_as_three(gateway):
    """Guards against a request that crashes an endpoint repeatedly.

    The endpoint restarts under its name within a second; counted by name, its three
    crashes were one.
    """
    crashes = gateway.parts.crashes
    for born_ms in (1, 2, 3):
        run = EndpointRun('e0', born_ms)
        crashes.record_interruption('pool', make_traits('f'), run, 1_000)
        crashes.endpoint_ended(run, 1_100)

    decision = crashes.decide('pool', make_traits('f'), 1_200)
    assert decision.kind is CrashDecisionKind.REFUSED
