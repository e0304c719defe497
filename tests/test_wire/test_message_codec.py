"""Encoding and decoding of messages, and refusal of invalid ones."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wire_messages import TEST_MESSAGES, make_report

from savorychute.errors import MessageError
from savorychute.wire import message_codec
from savorychute.wire.message_codec import (
    MAX_FRAME_BYTES,
    MessageCodec,
    decode_message,
    encode_message,
)
from savorychute.wire.schema_writer import write_schema


def test_message_round_trip(codec, report):
    decoded = codec.decode(codec.encode('a-1', 3, 9, report))
    assert decoded.message == report
    assert type(decoded.message) is type(report)
    assert decoded[:2] == ('a-1', 3)
    assert decoded.sequence == 9


def test_empty_lists_round_trip(codec, report):
    bare = report._replace(entries=(), offsets=(), names=(), digest=b'')
    assert codec.decode(codec.encode('a', 0, 0, bare)).message == bare


def test_unregistered_message_is_refused(codec):
    with pytest.raises(MessageError, match='int is no registered'):
        codec.encode('a', 0, 0, 5)


@pytest.mark.parametrize(
    'change',
    [
        {'window_ms': 1 << 70},
        {'window_ms': 'soon'},
        {'pool': '\ud800'},
        {'entries': 5},
        {'ran': 'not-run'},
        {'home': None},
    ],
)
def test_value_of_the_wrong_type_is_refused(codec, report, change):
    with pytest.raises(MessageError, match='does not fit'):
        codec.encode('a', 0, 0, report._replace(**change))


def test_unknown_tag_is_refused(tmp_path, codec, report):
    """A newer instance sends a message type that this instance does not know.

    Only that message is refused; the other messages of the connection are not
    affected.
    """
    path = tmp_path / 'older.capnp'
    path.write_text(write_schema({}))
    with pytest.raises(MessageError, match='tag 900'):
        MessageCodec(path, {}).decode(codec.encode('a', 0, 0, report))


def test_missing_field_takes_its_default(tmp_path):
    """An instance of an older version sends a message without a newer field.

    The receiver must see the field's default, not zero; otherwise an upgrade would
    change the meaning of messages from old instances.
    """

    class Probe(NamedTuple):
        target: str

    older = _make_codec(tmp_path / 'older.capnp', Probe)
    packed = older.encode('a', 0, 0, Probe('b'))

    class Probe(NamedTuple):  # type: ignore[no-redef]
        target: str
        span_ms: int = 40
        urgent: bool = True

    newer = _make_codec(tmp_path / 'newer.capnp', Probe)
    assert newer.decode(packed).message == ('b', 40, True)
    assert newer.decode(newer.encode('a', 0, 0, Probe('b', 0, False))).message == (
        'b',
        0,
        False,
    )


def test_newer_field_is_skipped_by_an_older_instance(tmp_path):
    class Probe(NamedTuple):
        target: str
        span_ms: int = 40

    newer = _make_codec(tmp_path / 'newer.capnp', Probe)
    packed = newer.encode('a', 0, 0, Probe('b', 7))

    class Probe(NamedTuple):  # type: ignore[no-redef]
        target: str

    older = _make_codec(tmp_path / 'older.capnp', Probe)
    assert older.decode(packed).message == ('b',)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(data=st.data())
def test_damaged_message_raises_only_message_errors(damaged_codec, data):
    """A faulty instance signs a damaged message.

    The signature is valid, so the decoder reads the damaged bytes.  Whatever the
    damage is, the receiver must refuse the message and continue to run.
    """
    codec, packed = damaged_codec
    damaged = bytearray(packed)
    for _ in range(data.draw(st.integers(1, 5))):
        position = data.draw(st.integers(0, len(damaged) - 1))
        damaged[position] = data.draw(st.integers(0, 255))
    try:
        decoded = codec.decode(bytes(damaged))
    except MessageError:
        return
    assert type(decoded.message).__name__ in ('Report', 'Entry')


def test_message_that_would_block_the_loop_is_refused(codec, report):
    """Packing compresses a long list of zeros to a few bytes.

    A frame far below the size limit could then keep the receiver's only thread
    busy for seconds, so the unpacked size is limited too.
    """
    packed = codec.encode('a', 0, 0, report._replace(offsets=(0,) * 500_000))
    assert len(packed) < MAX_FRAME_BYTES / 10
    with pytest.raises(MessageError, match='does not fit'):
        codec.decode(packed)


def test_oversized_frame_is_not_sent(monkeypatch, codec, report, keys):
    monkeypatch.setattr(message_codec, 'load_codec', lambda: codec)
    noise = random.Random(7).randbytes(MAX_FRAME_BYTES)
    with pytest.raises(MessageError, match='a Report of'):
        encode_message('a-1', 0, report._replace(digest=noise), keys)
    with pytest.raises(MessageError, match='too long'):
        decode_message(noise + b'x', keys)


@pytest.fixture(scope='module')
def damaged_codec(tmp_path_factory):
    path = tmp_path_factory.mktemp('wire') / 'messages.capnp'
    path.write_text(write_schema(TEST_MESSAGES))
    codec = MessageCodec(path, TEST_MESSAGES)
    return codec, codec.encode('a-1', 3, 9, make_report())


def _make_codec(path, record):
    messages = {900: record}
    path.write_text(write_schema(messages))
    return MessageCodec(path, messages)
