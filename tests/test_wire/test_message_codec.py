"""Messages survive the wire, and nothing else gets through."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from savorychute.errors import MessageError
from savorychute.wire.message_codec import MessageCodec
from savorychute.wire.schema_writer import write_schema


def test_message_survives(codec, report):
    decoded = codec.decode(codec.encode('a-1', 3, 9, report))
    assert decoded.message == report
    assert type(decoded.message) is type(report)
    assert decoded[:2] == ('a-1', 3)
    assert decoded.sequence == 9


def test_empty_lists_survive(codec, report):
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
def test_value_that_does_not_fit_is_refused(codec, report, change):
    with pytest.raises(MessageError, match='does not fit'):
        codec.encode('a', 0, 0, report._replace(**change))


def test_unknown_tag_is_refused(tmp_path, codec, report):
    """A newer instance sends a message that this one has never heard of.

    It is refused by itself; the connection's other messages are not harmed.
    """
    path = tmp_path / 'older.capnp'
    path.write_text(write_schema({}))
    with pytest.raises(MessageError, match='tag 900'):
        MessageCodec(path, {}).decode(codec.encode('a', 0, 0, report))


def test_missing_field_takes_its_default(tmp_path):
    """An instance of an older version sends a message without a newer field.

    The receiver must see the field's default, not zero, or an upgrade would
    change what old instances mean.
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


def _make_codec(path, record):
    messages = {900: record}
    path.write_text(write_schema(messages))
    return MessageCodec(path, messages)
