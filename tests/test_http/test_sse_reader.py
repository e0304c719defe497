"""Tests of the parser of server-sent events."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.http.sse_reader import EventTooLargeError, SseEvent, SseReader

STREAM = (
    b'id: 0\r\ndata: {"a": 1}\r\n\r\n'
    b': a comment\n\n'
    b'event: error\ndata: one\ndata: two\n\n'
    b'data:no blank\nunknown: x\n\n'
)
EVENTS = [
    SseEvent('0', '', b'{"a": 1}'),
    SseEvent('', '', b''),
    SseEvent('', 'error', b'one\ntwo'),
    SseEvent('', '', b'no blank'),
]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.sets(st.integers(0, len(STREAM))))
def test_events_do_not_depend_on_where_the_bytes_are_split(split_points):
    reader = SseReader()
    events = []
    edges = [0, *sorted(split_points), len(STREAM)]
    for start, stop in pairwise(edges):
        events += reader.feed(STREAM[start:stop])

    assert events == EVENTS


def test_size_of_an_event_without_end_is_limited():
    reader = SseReader(max_bytes=100)
    reader.feed(b'data: ' + b'a' * 90)

    with pytest.raises(EventTooLargeError):
        reader.feed(b'a' * 20)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.binary(max_size=40), max_size=10))
def test_any_bytes_raise_no_other_error(parts):
    reader = SseReader(max_bytes=50)
    try:
        for part in parts:
            reader.feed(part)
    except EventTooLargeError:
        return


def test_whole_event_above_the_limit_is_rejected():
    """Guards against a limit that holds only for events which arrive in parts."""
    with pytest.raises(EventTooLargeError):
        SseReader(max_bytes=100).feed(b'data: ' + b'a' * 200 + b'\n\n')
