"""A log whose reader stops does not block the instance."""

from __future__ import annotations

import io
import json
import os

import pytest

from savorychute.log_writer import DROPPED_EVENT, LogWriter

MESSAGE = {'message_type': 'request-finished', 'request_id': 'q-1'}


@pytest.fixture
def pipe():
    """Open a pipe; return its read end and a file for its write end."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    with os.fdopen(writing, 'wb', buffering=0) as file:
        yield reading, file
    os.close(reading)


def read_lines(descriptor):
    text = b''
    while True:
        try:
            part = os.read(descriptor, 65_536)
        except BlockingIOError:
            break
        text += part
    return [json.loads(line) for line in text.splitlines()]


def test_lines_are_written_at_once(pipe):
    reading, file = pipe
    writer = LogWriter(file)
    writer(MESSAGE)
    assert read_lines(reading) == [MESSAGE]


def test_stopped_reader_does_not_block_the_writer(pipe):
    """The process that reads the log stops, and the pipe fills up.

    A blocking write would stall the instance, so that it answers neither callers
    nor probes and its peers declare it dead.  The writer must not block; when the
    reader resumes, it gets complete lines and the number of lost ones.
    """
    reading, file = pipe
    writer = LogWriter(file, max_buffered_bytes=10_000)
    total = 5_000
    for number in range(total):
        writer({**MESSAGE, 'count': number})
    lines = read_lines(reading)
    for _ in range(100):
        writer.flush()
        lines += read_lines(reading)
    counts = [line['count'] for line in lines if 'request_id' in line]
    [lost] = [line['count'] for line in lines if 'request_id' not in line]
    assert counts == list(range(len(counts)))
    assert len(counts) + lost == total
    assert lost > 0


def test_exited_reader_does_not_stop_the_writer():
    """The process that reads the log exits, and every write to the pipe fails.

    The instance must continue to answer callers; its log is lost.
    """
    reading, writing = os.pipe()
    with os.fdopen(writing, 'wb', buffering=0) as file:
        writer = LogWriter(file)
        os.close(reading)
        for _ in range(3):
            writer(MESSAGE)
        assert writer.dropped == 3


def test_too_long_line_is_dropped_and_counted():
    file = io.BytesIO()
    writer = LogWriter(file)
    writer({'message_type': 'x' * 5_000})
    writer(MESSAGE)
    lines = [json.loads(line) for line in file.getvalue().splitlines()]
    assert lines == [{'message_type': DROPPED_EVENT, 'count': 1}, MESSAGE]


def test_unknown_object_is_written_as_its_type():
    file = io.BytesIO()
    LogWriter(file)({'value': io.StringIO('a prompt')})
    assert json.loads(file.getvalue()) == {'value': 'StringIO'}
