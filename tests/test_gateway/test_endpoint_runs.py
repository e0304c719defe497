"""Tests of endpoints that start again under the name that they had."""

from __future__ import annotations

import pytest
from gateway_fakes import STREAM, make_entry, make_prompt
from hypothesis import given
from hypothesis import strategies as st

from savorychute.clock import ManualClock
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.recovery.crash_sighting import CrashSighting

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


class Waiting:
    """Something under way at an endpoint."""

    told = False

    def endpoint_over(self):
        self.told = True


def runs(roster):
    return [record.entry.run for record in roster.usable('desk')]


def test_drain_of_a_new_run_is_believed(roster):
    """A leaving endpoint that went on getting requests.

    It crashes at its fiftieth report, starts again under its name, counts anew, and drains
    at once.  Its report is the first of the new run and was taken for an old one.
    """
    roster.apply(
        make_entry('d0', born_ms=SECOND_MS, sequence=1, draining=True),
    )

    assert runs(roster) == []


def test_endpoint_that_ended_may_start_again(roster):
    """An endpoint that got nothing for the rest of the day.

    Another one answers at its address, which proves its end; then it starts again under
    its name.
    """
    roster.end(EndpointRun('d0', FIRST_MS))
    assert runs(roster) == []

    roster.apply(make_entry('d0', born_ms=SECOND_MS))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_late_report_of_the_old_run_changes_nothing(roster):
    """An endpoint that was taken out because its predecessor had drained.

    The old run's last report, that it drains, is under way for seconds; meanwhile the
    new run has begun and registered.
    """
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.apply(make_entry('d0', born_ms=FIRST_MS, sequence=51, draining=True))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_new_run_has_none_of_the_old_ones_blame(roster, ended):
    old = roster.get('d0')
    old.health.silent(FIRST_MS)
    user = Waiting()
    old.begin(user, 100, FIRST_MS)

    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    new = roster.get('d0')

    assert ended == [EndpointRun('d0', FIRST_MS)]
    assert old.over
    assert user.told
    assert (new.outstanding, new.health.failure_share(SECOND_MS)) == (0, 0.0)


def test_late_proof_of_an_end_is_of_the_old_run_only(roster):
    """A healthy endpoint that got nothing.

    A request to the old run is under way while the new one registers; its answer says
    that the old run is gone.
    """
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.end(EndpointRun('d0', FIRST_MS))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_clock_of_an_endpoint_that_was_set_back(roster):
    """An endpoint that starts again and says that it is older than it was.

    Its clock was set back between the two starts.  One such report may be a late one of
    an older run; reports that go on, while those of the other run have stopped, are not.
    """
    for sequence in (1, 2):
        roster.apply(make_entry('d0', born_ms=900, sequence=sequence))
    assert runs(roster) == [EndpointRun('d0', FIRST_MS)]

    roster.apply(make_entry('d0', born_ms=900, sequence=3))

    assert runs(roster) == [EndpointRun('d0', 900)]


def test_two_restarts_in_a_row(roster, ended):
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.apply(make_entry('d0', born_ms=SECOND_MS + 500))

    assert runs(roster) == [EndpointRun('d0', SECOND_MS + 500)]
    assert ended == [EndpointRun('d0', FIRST_MS), EndpointRun('d0', SECOND_MS)]


def test_restart_while_the_store_is_down(roster):
    """An endpoint that kept the doubt about its old run.

    Its entry lapses in an outage and stays in use for a while; the run that registers
    after the outage is a new one.
    """
    roster.store_failed(2_000)
    roster.apply_all([], 2_500)
    roster.apply(make_entry('d0', born_ms=SECOND_MS))
    roster.expire(10_000)

    assert runs(roster) == [EndpointRun('d0', SECOND_MS)]


def test_entry_without_a_start_goes_by_its_name(ended):
    """Older deployments do not say when an endpoint began."""
    roster = EndpointRoster(lambda run, now_ms: ended.append(run), ManualClock())  # noqa: ARG005
    roster.apply(make_entry('d0', sequence=3))
    roster.end(EndpointRun('d0'))
    roster.apply(make_entry('d0', sequence=4))

    assert runs(roster) == []


ENTRIES = st.lists(
    st.tuples(st.integers(1, 3), st.integers(1, 6), st.booleans()),
    min_size=1,
    max_size=8,
)


@given(ENTRIES, st.randoms(use_true_random=False))
def test_instances_agree_whatever_the_order(entries, rng):
    """Two instances that learn of restarts in different orders end with the same run.

    Reports of older runs come late and between those of the newest, whose reports never
    stop; the newest one's last report comes last.
    """
    newest = max(born for born, _, _ in entries)
    last = make_entry('d0', born_ms=newest * 1_000, sequence=99)
    ends = []
    for order in (entries, rng.sample(entries, len(entries))):
        roster = EndpointRoster(lambda run, now_ms: None, ManualClock())  # noqa: ARG005
        roster.apply(last._replace(sequence=1))
        for born, sequence, draining in order:
            roster.apply(
                make_entry(
                    'd0', born_ms=born * 1_000, sequence=sequence, draining=draining
                )
            )
            roster.apply(last._replace(sequence=1))
        roster.apply(last)
        ends.append(runs(roster))

    assert ends == [[last.run], [last.run]]


def test_report_of_a_restarted_engine_ends_the_old_run(gateway):
    """A prompt sent to an engine for the cache of its predecessor.

    The engine has started again within one heartbeat, so the list does not show it yet;
    its load report does.
    """
    listed = gateway.parts.roster.get('e0').entry
    gateway.parts.roster.apply(listed._replace(born_ms=FIRST_MS))
    record = gateway.parts.roster.get('e0')
    load = EngineLoad(0, 0, 0, 0, born_ms=SECOND_MS)
    gateway.attempts.loads['e0'] = load
    gateway.parts.loads.ask(record, lambda lives: None)  # noqa: ARG005

    assert record.over
    assert gateway.parts.roster.get('e0').entry.run == EndpointRun('e0', SECOND_MS)


def test_request_at_a_run_that_is_over_is_decided_as_at_a_crash(gateway):
    """A caller that waited for its deadline in vain.

    Its engine has lost power and starts again at the same address, so that the connection
    never breaks and probes find the new run alive.
    """
    prompt = make_prompt()
    _, caller = gateway.start('/draft/1', prompt=prompt)
    attempt = gateway.last_attempt
    attempt.start_response(STREAM, b'id: 1\ndata: x\n\n')
    entry = gateway.parts.roster.get(attempt.endpoint).entry

    gateway.parts.roster.apply(entry._replace(born_ms=SECOND_MS))

    assert attempt.cancelled
    assert caller.state == 'cut'


def test_one_name_crashed_three_times_is_three_crashes(gateway):
    """A request that took an endpoint down again and again.

    The endpoint starts again under its name within a second; counted by name, its three
    crashes were one.
    """
    crashes = gateway.parts.crashes
    for born_ms in (1, 2, 3):
        run = EndpointRun('e0', born_ms)
        crashes.record_interruption(CrashSighting('f', run), 1_000)
        crashes.endpoint_ended(run, 1_100)

    assert crashes.is_suspect('f', 1_200)
