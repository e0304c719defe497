"""Tests of splitting a stream into events."""

from __future__ import annotations

from savorychute.gateway.requests.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
)

CHUNK_BYTES = 64 * 1024


def test_event_without_an_end_is_not_buffered_without_limit():
    """Guards against an endpoint that exhausts the memory of an instance.

    Its stream has no blank line, so no event is ever complete and all of the body is
    buffered.
    """
    splitter = EventSplitter()
    for _ in range(2 * MAX_EVENT_BYTES // CHUNK_BYTES):
        splitter.feed(b'x' * CHUNK_BYTES)

    assert splitter.partial_bytes <= MAX_EVENT_BYTES
