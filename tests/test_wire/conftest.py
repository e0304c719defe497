"""Fixtures for the wire format."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from savorychute.member_address import MemberAddress
from savorychute.ran import Ran
from savorychute.wire.message_codec import MessageCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.schema_writer import write_schema


class Entry(NamedTuple):
    """A flat record."""

    endpoint: str
    tier: int
    share: float
    urgent: bool = False


class Report(NamedTuple):
    """A message with every kind of field."""

    pool: str
    entries: tuple[Entry, ...]
    home: MemberAddress
    digest: bytes
    offsets: tuple[int, ...]
    names: tuple[str, ...]
    ran: Ran
    window_ms: int = 250


TEST_MESSAGES: dict[int, type] = {900: Report, 901: Entry}


@pytest.fixture
def report() -> Report:
    home = MemberAddress('a-1', 7, 'kerala', 'kochi-hall', '127.0.0.1', 1, 2)
    entries = tuple(Entry(f'engine-{i}', i % 5, i / 16, i == 3) for i in range(16))
    return Report('llama', entries, home, b'\x00\xff', (1, -2), ('å', ''), Ran.NOT_RUN)


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
