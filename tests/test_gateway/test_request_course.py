"""Tests of a request's course under failures of its endpoints."""

from __future__ import annotations

import pytest
from gateway_fakes import (
    ELSEWHERE,
    FAILURE,
    FOREIGN,
    REJECTION,
    STREAM,
    SUCCESS,
    make_prompt,
    make_scene,
)

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.ran import Ran
from savorychute.result_code import ResultCode


def event(number):
    return f'id: {number}\ndata: x\n\n'.encode()


def test_an_answer_reaches_its_caller_as_it_was(scene):
    _, caller = scene.start()

    scene.last.answer(SUCCESS, b'visit 7')

    assert (caller.status, caller.body, caller.state) == (200, b'visit 7', 'whole')
    assert all(record.outstanding == 0 for record in scene.parts.roster)


def test_non_idempotent_request_is_not_sent_again_after_a_reset(scene):
    """A doubled parts issue.

    A technician books a spare part; the endpoint books it, and the connection is
    reset before the answer.  Sent to another endpoint it would be booked twice;
    answered with 503 the technician would send it again.
    """
    _, caller = scene.start('/parts/1', method='POST', body=b'impeller')
    scene.last.reach()

    scene.last.lose()

    assert len(scene.attempts.sent) == 1
    assert caller.refusal.code is ResultCode.OUTCOME_UNKNOWN
    assert caller.refusal.ran is Ran.UNKNOWN


def test_non_idempotent_request_uses_no_kept_connection(scene):
    """A kept connection dies at the moment of its reuse.

    The endpoint closes an idle connection while the request is on its way.  Nobody can
    tell whether it ran, so such a request takes a fresh connection.
    """
    scene.start('/parts/1', method='POST')
    assert scene.last.attempt.fresh

    scene.start('/visit/1')
    assert not scene.last.attempt.fresh


@pytest.mark.parametrize('answer', [REJECTION, ELSEWHERE])
def test_non_idempotent_request_goes_on_after_proof_that_it_did_not_run(scene, answer):
    _, caller = scene.start('/parts/1', method='POST')

    scene.last.answer(answer)
    assert len(scene.attempts.sent) == 2
    assert scene.attempts.sent[0].endpoint != scene.attempts.sent[1].endpoint
    scene.last.answer(SUCCESS, b'booked')

    assert (caller.status, caller.body) == (200, b'booked')


def test_request_that_no_endpoint_took_is_told_as_not_run(scene):
    """A true refusal.

    All endpoints are full and say so.  The caller is told 'not run' with a time to
    come back, and none of them ran the request.
    """
    _, caller = scene.start('/parts/1', method='POST')
    for _ in range(3):
        scene.last.answer(REJECTION)

    assert caller.refusal.code is ResultCode.NO_ENDPOINT
    assert caller.refusal.ran is Ran.NOT_RUN
    assert caller.refusal.retry_after_ms > 0


def test_not_run_is_not_said_while_one_attempt_is_in_doubt(scene):
    """A false 'not run'.

    The first endpoint breaks off, the second one is full.  The second says that it did
    not run the request; of the first nobody knows.
    """
    _, caller = scene.start('/visit/1')
    scene.last.reach()
    scene.last.lose()
    for _ in range(2):
        scene.last.answer(REJECTION)

    assert caller.state == 'refused'
    assert caller.refusal.ran is Ran.UNKNOWN


def test_address_of_another_endpoint_is_not_used_again(scene):
    """An address that was used again.

    An endpoint ended and its address went to another service, whose endpoint refuses
    what was meant for the first.  The entry is still listed for a second.
    """
    scene.start('/visit/1')
    ended = scene.last.endpoint
    scene.last.answer(ELSEWHERE)

    for _ in range(20):
        scene.start('/visit/1')

    assert ended not in {each.endpoint for each in scene.attempts.sent[1:]}


def test_idempotent_request_is_repeated_within_its_bound(scene):
    _, caller = scene.start('/visit/1')
    scene.last.answer(FAILURE, b'failed')
    scene.last.answer(FAILURE, b'failed too')

    assert len(scene.attempts.sent) == 2
    assert (caller.status, caller.body) == (500, b'failed too')


def test_repeats_stop_when_the_allowance_is_used_up():
    """A retry storm.

    Every endpoint of a service breaks off.  If each request were repeated, the endpoints
    that come back would meet twice their load.
    """
    scene = make_scene(slack=10)
    for _ in range(100):
        scene.start('/visit/1')
        scene.last.reach()
        scene.last.lose()

    repeats = len(scene.attempts.sent) - 100
    assert repeats <= 0.2 * 100 + 10


def test_silent_endpoint_is_left_early_enough_for_the_objective(scene):
    """A server that went dark.

    It takes the request and sends nothing, not even a reset.  Another one answers a
    scan in time if it gets it well before the objective of 300 ms.
    """
    _, caller = scene.start('/visit/1')
    scene.last.reach()

    scene.advance(200)

    assert len(scene.attempts.sent) == 2
    assert scene.attempts.sent[0].cancelled
    scene.last.answer(SUCCESS, b'done')
    assert caller.body == b'done'


def test_non_idempotent_request_waits_for_a_silent_endpoint(scene):
    _, caller = scene.start('/parts/1', method='POST')
    scene.last.reach()

    scene.advance(2_900)
    assert len(scene.attempts.sent) == 1
    assert caller.state == 'waiting'
    scene.advance(200)

    assert caller.refusal.code is ResultCode.ANSWER_TIMEOUT
    assert caller.refusal.ran is Ran.UNKNOWN
    assert scene.last.cancelled


def test_engine_that_answers_a_probe_is_not_left(scene):
    """A prompt that was read twice.

    An engine reads long prompts and sends no token for a second.  It is not dead; sent
    elsewhere, the prompt would be read again there while this one goes on.
    """
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()

    scene.advance(2_000)

    assert scene.attempts.probes
    assert len(scene.attempts.sent) == 1


def test_engine_that_dies_after_a_probe_is_left(scene):
    """A diagnosis that waited for a dead engine.

    The engine answered a probe while it read the prompt, and went dark after that.  One
    sign of life must not be good for ever.
    """
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()
    scene.advance(800)
    assert scene.attempts.probes

    scene.attempts.lives = False
    scene.advance(1_000)

    assert len(scene.attempts.sent) == 2


def test_attempt_that_has_ended_is_not_left_again(scene):
    """A request that ran three times.

    The first engine breaks off, and the report of the next one takes a while; the timer of
    the first attempt must not start another.
    """
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()
    scene.attempts.holds_probes = True
    scene.last.lose()
    scene.advance(3_000)
    assert len(scene.attempts.sent) == 1

    scene.attempts.answer_probes()

    assert len(scene.attempts.sent) == 2


def test_dead_engine_is_left_after_a_probe(scene):
    scene.attempts.lives = False
    scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()

    scene.advance(1_000)

    assert len(scene.attempts.sent) == 2
    assert scene.attempts.sent[0].cancelled


def test_stream_goes_on_at_another_engine_without_gap_or_repeat(scene):
    """An engine that crashed within an event.

    It stops in the middle of event 3.  The next one goes on after event 2 and, as it
    may, repeats it.  The caller must see each event once, and the head only once.
    """
    _, caller = scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.begin(STREAM, event(1) + event(2) + b'id: 3\nda')
    scene.last.lose()

    assert scene.last.attempt.last_event == '2'
    scene.last.answer(STREAM, event(2) + event(3) + event(4))

    assert caller.body == event(1) + event(2) + event(3) + event(4)
    assert caller.state == 'whole'


def test_stream_that_may_not_be_resumed_is_cut_visibly(scene):
    """A draft that looked complete.

    The engine crashes midway.  The caller must see that the answer is cut; an orderly
    end would pass it off as the whole draft.
    """
    _, caller = scene.start('/draft/1', prompt=make_prompt())
    scene.last.begin(STREAM, event(1))
    scene.last.lose()

    assert len(scene.attempts.sent) == 1
    assert caller.state == 'cut'


def test_stream_that_ends_within_an_event_is_not_complete(scene):
    _, caller = scene.start('/draft/1', prompt=make_prompt())

    scene.last.answer(STREAM, event(1) + b'id: 2\nda')

    assert caller.state == 'cut'


def test_answer_of_another_request_is_passed_to_nobody(scene):
    """A crossed answer.

    On a kept connection an endpoint sends a late second answer of the request before.
    """
    _, caller = scene.start('/visit/1')
    scene.last.reach()
    scene.last.listener.answer_began(FOREIGN)

    assert scene.attempts.sent[0].cancelled
    assert caller.state == 'waiting'
    scene.last.answer(SUCCESS, b'own')
    assert caller.body == b'own'


def test_caller_that_leaves_stops_the_work(scene):
    """An engine that worked for nobody.

    The caller closes its connection while its request waits; the engine has to stop, or
    it generates for nobody.
    """
    course, _ = scene.start('/diagnosis/1', prompt=make_prompt())
    scene.last.reach()

    course.caller_left()

    assert scene.last.cancelled
    assert all(record.outstanding == 0 for record in scene.parts.roster)
    scene.advance(20_000)
    assert len(scene.attempts.sent) == 1


def test_final_answer_comes_at_the_timeout(scene):
    _, caller = scene.start('/draft/1', prompt=make_prompt())
    scene.last.begin(STREAM, event(1))

    scene.advance(6_000)

    assert caller.state == 'cut'
    assert scene.last.cancelled


def test_endpoint_is_told_what_time_is_left(scene):
    scene.start('/visit/1', deadline_ms=1_000)
    assert scene.last.attempt.remaining_ms == 1_000
    scene.advance(200)
    assert scene.last.attempt.remaining_ms == 820


def test_request_that_crashes_endpoints_is_not_run_by_a_fourth(scene):
    """A poison request.

    One request takes down each endpoint that begins to run it; its caller sends it again
    and again.  After three endpoints it is refused, and others still run.
    """
    for number in range(3):
        scene.start('/parts/1', method='POST', body=b'poison')
        scene.last.reach()
        scene.last.lose()
        scene.parts.roster.record_end(EndpointRun(scene.last.endpoint))
        assert len(scene.attempts.sent) == number + 1

    verdict = scene.admit('/parts/1', method='POST', body=b'poison')
    assert verdict.code is ResultCode.CRASH_SUSPECT
    assert verdict.ran is Ran.NOT_RUN
    assert scene.admit('/parts/1', method='POST', body=b'other').rank == 8


def test_request_without_endpoints_is_refused_at_once():
    scene = make_scene(desks=0)

    _, caller = scene.start('/visit/1')

    assert caller.refusal.code is ResultCode.NO_ENDPOINT
    assert caller.refusal.ran is Ran.NOT_RUN


def test_resets_alone_make_no_request_a_suspect(scene):
    """A popular scan that nobody could send any more.

    A bad network resets connections to every endpoint while the same scan runs there;
    all of them live.
    """
    for _ in range(10):
        scene.start('/parts/1', method='POST', body=b'popular')
        scene.last.reach()
        scene.last.lose()

    assert scene.admit('/parts/1', method='POST', body=b'popular').rank == 8
