"""Tests of the tiered queue."""

from __future__ import annotations

import random

import pytest

from savorychute.admission import ADMISSIONS, AdmissionSettings, RunningRequest
from savorychute.result_code import ResultCode


def test_higher_tier_starts_first(make_queue, make_request, start_all):
    queue = make_queue()
    low, high = make_request(tier=2), make_request(tier=0)
    queue.offer(low, None, 0)
    queue.offer(high, None, 0)

    assert start_all(queue) == [high, low]


def test_organisations_share_starts_by_weight(make_queue, make_request, start_all):
    queue = make_queue({'a': 0.3, 'b': 0.1})
    for _ in range(40):
        queue.offer(make_request('a'), None, 0)
        queue.offer(make_request('b'), None, 0)

    first = [request.organisation for request in start_all(queue)[:40]]

    assert 28 <= first.count('a') <= 32


def test_earliest_target_first_inside_an_organisation(
    make_queue, make_request, start_all
):
    queue = make_queue()
    later = make_request(first_token_target_ms=900)
    sooner = make_request(first_token_target_ms=200)
    queue.offer(later, None, 0)
    queue.offer(sooner, None, 0)

    assert start_all(queue) == [sooner, later]


def test_late_request_starts_after_one_in_time(make_queue, make_request, start_all):
    """Guards against missing every target under overload, although half of
    the requests could meet theirs.  It happens if each start goes to the
    earliest target, which always belongs to a request that is already late.
    """
    queue = make_queue()
    late = make_request(arrival_ms=0)
    in_time = make_request(arrival_ms=300)
    queue.offer(late, None, 0)
    queue.offer(in_time, None, 300)

    assert start_all(queue, now_ms=310) == [in_time, late]


def test_organisation_at_its_limit_neither_blocks_others_nor_accumulates_starts(
    make_queue, make_request, start_all
):
    """An organisation reaches the concurrency limit of its contract while its
    queue is long.  The others continue.  Once it can start again it must not
    get every start to make up for the starts that it missed.
    """
    queue = make_queue({'a': 0.1, 'b': 0.1})
    for _ in range(30):
        queue.offer(make_request('a'), None, 0)
        queue.offer(make_request('b'), None, 0)

    for _ in range(10):
        started = queue.next_start('m', 0, lambda request: request.organisation == 'b')
        assert started.organisation == 'b'

    after = [request.organisation for request in start_all(queue)[:10]]
    assert 4 <= after.count('a') <= 6


def test_full_queue_evicts_the_lowest_tier_for_a_higher_one(make_queue, make_request):
    queue = make_queue(max_requests=2)
    first, second = make_request(tier=2), make_request(tier=2)
    queue.offer(first, None, 0)
    queue.offer(second, None, 0)

    outcome = queue.offer(make_request(tier=1), None, 0)

    assert outcome.admitted
    assert [shed.request_id for shed in outcome.shed] == [second.request_id]
    assert outcome.shed[0].code is ResultCode.QUEUE_FULL
    assert outcome.shed[0].retry_after_ms > 0


def test_full_queue_refuses_the_lowest_tier(make_queue, make_request):
    queue = make_queue(max_requests=1)
    queue.offer(make_request(tier=1), None, 0)

    outcome = queue.offer(make_request(tier=2), None, 0)

    assert not outcome.admitted
    assert outcome.code is ResultCode.QUEUE_FULL
    assert outcome.retry_after_ms > 0


def test_nothing_is_evicted_for_a_request_that_would_not_fit(make_queue, make_request):
    queue = make_queue(max_bytes=1_000)
    queue.offer(make_request(tier=0, size_bytes=600), None, 0)
    queue.offer(make_request(tier=2, size_bytes=300), None, 0)

    outcome = queue.offer(make_request(tier=1, size_bytes=500), None, 0)

    assert not outcome.admitted
    assert outcome.shed == ()
    assert queue.waiting('m') == {0: 1, 2: 1}


def test_organisation_with_the_longest_queue_is_evicted_for_others(
    make_queue, make_request
):
    """Guards against one organisation filling the whole queue in a burst, so
    that all others are refused until it has drained.  It happens if the limit
    of the queue is not divided into shares.
    """
    queue = make_queue({'a': 0.1, 'b': 0.1}, max_requests=10)
    for _ in range(10):
        queue.offer(make_request('a'), None, 0)

    assert queue.offer(make_request('b'), None, 0).admitted
    assert not queue.offer(make_request('a'), None, 0).admitted


def test_class_queue_is_limited(make_queue, make_request):
    queue = make_queue(limit_options={'queue_requests': 2})
    outcomes = [queue.offer(make_request(), None, 0) for _ in range(3)]

    assert [outcome.admitted for outcome in outcomes] == [True, True, False]


def test_expired_request_is_shed_with_deadline_passed(make_queue, make_request):
    queue = make_queue()
    request = make_request(deadline_ms=500)
    queue.offer(request, None, 0)

    assert queue.expire(499) == []
    (expired,) = queue.expire(500)
    assert expired.request_id == request.request_id
    assert expired.code is ResultCode.DEADLINE_PASSED
    assert queue.pools() == []


def test_request_is_shed_after_the_maximum_wait_of_its_class(make_queue, make_request):
    queue = make_queue()
    queue.offer(make_request(), None, 0)

    (expired,) = queue.expire(9_000)

    assert expired.code is ResultCode.OVERLOADED


def measure_backlog(queue, make_request, count=60, interval_ms=100):
    """Let the queue measure that the pool starts ten requests a second."""
    for _ in range(count):
        queue.offer(make_request('a', deadline_ms=10**6), None, 0)
    for number in range(20):
        queue.next_start('m', number * interval_ms, lambda _: True)


def test_request_that_would_miss_its_target_is_shed_early(make_queue, make_request):
    queue = make_queue(late_share=0.0)
    measure_backlog(queue, make_request)

    outcome = queue.offer(make_request('a', arrival_ms=2_000), 50.0, 2_000)

    assert outcome.code is ResultCode.OVERLOADED
    assert outcome.retry_after_ms >= 3_000


def test_request_that_would_not_start_at_all_is_shed_early(make_queue, make_request):
    """Guards against letting callers wait until their deadline for an answer
    that the length of the queue rules out at once.
    """
    queue = make_queue()
    measure_backlog(queue, make_request, count=150)

    refused = queue.offer(make_request('a', arrival_ms=2_000), 50.0, 2_000)

    assert refused.code is ResultCode.OVERLOADED
    assert refused.retry_after_ms >= 3_000


def test_patient_request_waits_instead(make_queue, make_request):
    queue = make_queue(late_share=0.0)
    measure_backlog(queue, make_request)

    patient = make_request('a', arrival_ms=2_000, patient=True)

    assert queue.offer(patient, 50.0, 2_000).admitted


def test_request_is_not_shed_while_a_lower_tier_could_be_preempted(
    make_queue, make_request
):
    queue = make_queue(late_share=0.0)
    measure_backlog(queue, make_request)

    request = make_request('a', arrival_ms=2_000)

    assert queue.offer(request, 50.0, 2_000, can_preempt=True).admitted


def test_slow_endpoints_alone_cause_no_shedding(make_queue, make_request):
    """All endpoints of a model are slower than the target of a class.  Refusing
    the requests would leave the endpoints idle and answer no request at all.
    """
    queue = make_queue()

    assert queue.offer(make_request(), 60_000.0, 0).admitted


@pytest.mark.parametrize(
    'running, expected',
    [
        ([('x', 2, True, 5), ('y', 2, True, 9), ('z', 1, True, 9)], 'y'),
        ([('x', 2, False, 5), ('z', 1, True, 9)], 'z'),
        ([('x', 0, True, 5)], None),
        ([('x', 2, False, 5)], None),
    ],
)
def test_preemption_chooses_the_last_started_of_the_lowest_tier(
    make_queue, make_request, running, expected
):
    queue = make_queue()
    queue.offer(make_request(tier=0), None, 0)

    entries = [RunningRequest(*entry) for entry in running]

    assert queue.preemption('m', entries, 100) == expected


def test_one_waiting_request_preempts_one_stream(make_queue, make_request):
    """Guards against preempting one more stream for the same waiting request
    on each call, because the first victim has not left its endpoint yet.
    """
    queue = make_queue()
    queue.offer(make_request(tier=0), None, 0)
    entries = [RunningRequest(f'x{n}', 2, True, n) for n in range(3)]

    assert queue.preemption('m', entries, 100) == 'x2'
    assert queue.preemption('m', entries, 110) is None


def test_stream_that_is_being_preempted_is_skipped(make_queue, make_request):
    """Two requests wait, and the stream of the lowest tier is being stopped.

    It is listed as running until it has stopped.  The next victim is of the
    next tier, because stopping the same stream twice frees only one slot.
    """
    queue = make_queue()
    queue.offer(make_request(tier=0), None, 0)
    queue.offer(make_request(tier=0), None, 0)
    entries = [RunningRequest('x0', 2, True, 0), RunningRequest('x1', 1, True, 0)]

    assert queue.preemption('m', entries, 100) == 'x0'
    assert queue.preemption('m', entries, 100) == 'x1'


def test_nothing_is_preempted_for_an_organisation_at_its_limits(
    make_queue, make_request
):
    queue = make_queue()
    queue.offer(make_request(tier=0), None, 0)
    entries = [RunningRequest('x', 2, True, 0)]

    assert queue.preemption('m', entries, 100, can_start=lambda _: False) is None


def test_class_whose_requests_time_out_stays_due(make_queue, make_request):
    """Guards against a low class that never starts, because each of its
    requests times out shortly before the class is due a start and the next one
    starts to wait from zero.
    """
    queue = make_queue({'a': 0.1, 'b': 0.1}, guarantee_floor=0.1)
    for _ in range(30):
        queue.offer(make_request('a', tier=0), None, 0)
    first = make_request('b', tier=2)
    queue.offer(first, None, 0)
    for _ in range(8):
        queue.next_start('m', 0, lambda _: True)
    queue.remove(first.request_id)

    queue.offer(make_request('b', tier=2), None, 0)
    started = [queue.next_start('m', 0, lambda _: True) for _ in range(8)]

    assert 'b' in [request.organisation for request in started]


@pytest.mark.parametrize('name', ['tiered', 'fifo'])
def test_restored_request_is_never_refused(make_request, name):
    """A preempted stream returns to a queue that has become full meanwhile.
    Its caller has already received a part of the answer and must not be told
    that the request was not run.
    """
    queue = ADMISSIONS.get(name)(AdmissionSettings(max_requests=1), random.Random(1))
    request = make_request()
    queue.offer(request, None, 0)
    queue.next_start('m', 0, lambda _: True)
    queue.offer(make_request(), None, 0)

    queue.restore(request, 10)

    assert queue.next_start('m', 10, lambda _: True) == request


def test_restored_request_can_wait_until_its_deadline(make_queue, make_request):
    """Guards against shedding a request whose answer has started.

    A stream waits, starts, is preempted for a request of a higher tier after
    more than the maximum wait of its class, and waits again.
    """
    queue = make_queue()
    request = make_request(deadline_ms=1_000_000)
    queue.offer(request, None, 0)
    queue.next_start(request.pool, 0, lambda _: True)

    queue.restore(request, 900_000)

    assert queue.expire(999_999) == []
    assert [shed.request_id for shed in queue.expire(1_000_000)] == [request.request_id]
