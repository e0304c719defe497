"""Tests of the buffer that divides a stream into events."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.http import event_buffer
from savorychute.http.event_buffer import EventBuffer

PIECE_BYTES = 8
EVENT_BYTES = 4_000
LINE_ENDS = (b'\n', b'\r\n', b'\r')


class CountingPattern:
    """Counts the bytes that are searched for the end of an event."""

    def __init__(self, pattern):
        self.searched_bytes = 0
        self._pattern = pattern

    def search(self, buffer, start):
        self.searched_bytes += len(buffer) - start
        return self._pattern.search(buffer, start)


def feed_in_pieces(buffer, data, piece_bytes):
    events = []
    for start in range(0, len(data), piece_bytes):
        events += buffer.feed(data[start : start + piece_bytes])
    return events


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('piece_bytes', [1, 2, 3, 5, 100])
def test_events_end_at_a_blank_line_of_any_kind(line_end, piece_bytes):
    """Guards against streams of which nothing is forwarded until they end.

    Many servers end their lines with CRLF.
    """
    lines = [b'id: 1', b'data: a', b'', b'id: 2', b'data: b', b'']
    data = b''.join(line + line_end for line in lines)
    buffer = EventBuffer()

    events = feed_in_pieces(buffer, data, piece_bytes)

    assert [event.split() for event in events] == [
        [b'id:', b'1', b'data:', b'a'],
        [b'id:', b'2', b'data:', b'b'],
    ]
    assert buffer.partial_bytes == 0


@pytest.mark.parametrize('piece_bytes', [1, 2, 3, 5, 17, 100])
def test_crlf_that_is_split_reaches_the_caller_whole(piece_bytes):
    """Guards against a caller that takes two events for one.

    Its parser ends lines by LF or CRLF, and the LF was lost where a piece ended by CR.
    """
    data = b'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n'

    assert b''.join(feed_in_pieces(EventBuffer(), data, piece_bytes)) == data


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.sampled_from([b'data: x', b'id: 1', b'']), max_size=12),
    st.sampled_from(LINE_ENDS),
    st.integers(1, 7),
)
def test_events_do_not_depend_on_where_the_bytes_are_split(
    lines, line_end, piece_bytes
):
    data = b''.join(line + line_end for line in lines)
    whole = EventBuffer()
    pieces = EventBuffer()

    expected = [event.splitlines() for event in whole.feed(data)]
    events = [each.splitlines() for each in feed_in_pieces(pieces, data, piece_bytes)]

    assert events == expected
    assert pieces.partial_bytes == whole.partial_bytes


def test_long_event_in_small_pieces_is_searched_once(monkeypatch):
    """Guards against one endpoint that holds up all streams of an instance.

    Searching all that is buffered for each piece takes time that grows with the square
    of the event's size.
    """
    pattern = CountingPattern(event_buffer.EVENT_END)
    monkeypatch.setattr(event_buffer, 'EVENT_END', pattern)

    feed_in_pieces(EventBuffer(), b'a\r\n' + b'x' * EVENT_BYTES, PIECE_BYTES)

    assert pattern.searched_bytes <= 2 * EVENT_BYTES


def test_events_before_one_above_the_limit_are_returned():
    buffer = EventBuffer(max_bytes=10)

    events = buffer.feed(b'data: a\n\ndata: ' + b'b' * 20 + b'\n\ndata: c\n\n')

    assert events == [b'data: a\n\n']
    assert buffer.is_too_large
    assert buffer.feed(b'data: d\n\n') == []
