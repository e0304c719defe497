"""Tests of requests with a part in their prompts that crashes engines, over sockets."""

from __future__ import annotations

import pytest
from crashing_engine import End
from crashing_fleet import (
    BAD,
    LATE_ARRIVALS,
    SYSTEM_PROMPTS,
    Shape,
    crash_at_random,
    kill_all,
    kill_in_turn,
    play,
)

# Of the share of sound requests that begin at the first try, what must be left.
MIN_RELATIVE_SHARE = 0.5
FIRST = SYSTEM_PROMPTS[0]
SHAPES = {
    'plain': Shape(),
    'first-part': Shape(prompts=((BAD,),)),
    'two-parts': Shape(
        prompts=((FIRST, BAD), (FIRST, 'bad1')), bad_parts=(BAD, 'bad1')
    ),
    'beside-a-rare-part': Shape(prompts=((FIRST, 'ra4e', BAD),)),
    'unframed-reset': Shape(framed=False),
    'unframed-in-event': Shape(framed=False, end=End.IN_EVENT),
    'unframed-edge': Shape(framed=False, end=End.EDGE),
    'one-instance-killed-each-second': Shape(disturb=kill_in_turn),
    'all-instances-killed': Shape(disturb=kill_all),
    'other-crashes': Shape(disturb=crash_at_random),
    'little-sound-traffic': Shape(sound_callers=3),
}


@pytest.mark.parametrize('shape', SHAPES.values(), ids=SHAPES)
def test_part_that_crashes_engines_is_kept_from_them(shape):
    """Guards against requests with a common part that crash one engine after another.

    No two of the requests are alike, and all their other parts are those of sound ones.
    """
    outcome = play(shape)
    assert max(outcome.late.values()) <= LATE_ARRIVALS
    assert outcome.after >= MIN_RELATIVE_SHARE * outcome.before


def test_stream_that_ends_before_its_first_event_is_not_whole():
    """Guards against a crash that looks like the end of an empty stream.

    The streams have neither a length nor chunks, and end with their connections.
    """
    outcome = play(SHAPES['unframed-edge'])
    streams = outcome.streams + outcome.bad_streams
    assert [stream for stream in streams if stream.whole and not stream.events] == []


def test_part_is_not_convicted_for_crashes_of_engines():
    """Guards against refusals of common parts when engines crash by themselves."""
    shape = Shape(prompts=(), bad_parts=(), disturb=crash_at_random)
    tries = [each for stream in play(shape).streams for each in stream.tries]
    assert len(tries) > 500
    assert [each for each in tries if 'crash' in each.refusal] == []
