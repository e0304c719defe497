"""Fixtures for the wire format."""

from __future__ import annotations

import pytest
from wire_messages import TEST_MESSAGES, Report, make_report

from savorychute.wire.message_codec import MessageCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.schema_writer import write_schema


@pytest.fixture
def report() -> Report:
    return make_report()


@pytest.fixture
def codec(tmp_path) -> MessageCodec:
    path = tmp_path / 'test_messages.capnp'
    path.write_text(write_schema(TEST_MESSAGES))
    return MessageCodec(path, TEST_MESSAGES)


@pytest.fixture
def old_key() -> PeerKey:
    return PeerKey(1, b'o' * 32)


@pytest.fixture
def new_key() -> PeerKey:
    return PeerKey(2, b'n' * 32)


@pytest.fixture
def keys(old_key) -> PeerKeys:
    return PeerKeys(old_key)
