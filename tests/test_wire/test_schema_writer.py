"""Generation of the schema, and whether the committed one is current."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from savorychute.wire.message_codec import load_codec
from savorychute.wire.peer_packages import load_peer_messages
from savorychute.wire.schema_writer import SCHEMA_PATH, write_schema

TAG_RANGES = {
    'membership': (1,),
    'configuration': (2,),
    'credits': (3,),
    'limits': (4,),
    'requests': (5,),
    'recovery': (6,),
    'leases': (7,),
    'gateway': (9, 10),
}


def test_committed_schema_is_current():
    assert SCHEMA_PATH.read_text() == write_schema(load_peer_messages())


def test_every_registered_message_has_its_codec():
    codec = load_codec()
    for tag in load_peer_messages():
        assert codec._find_struct(tag).struct is not None


def test_every_tag_is_in_the_range_of_its_package():
    """Two packages developed in parallel may use one tag for two messages.

    The later import would fail, possibly only after a merge; separate tag ranges
    prevent this.
    """
    misplaced = [
        f'{message.__module__} {tag}'
        for tag, message in load_peer_messages().items()
        if tag // 10 not in TAG_RANGES[message.__module__.split('.')[1]]
    ]
    assert misplaced == []
    ranges = [each for owned in TAG_RANGES.values() for each in owned]
    assert len(ranges) == len(set(ranges))


def test_field_without_a_wire_representation_is_refused():
    class Wrong(NamedTuple):
        shares: dict[str, int]

    with pytest.raises(TypeError, match=r'Wrong\.shares'):
        write_schema({900: Wrong})


def test_two_records_with_one_name_are_refused():
    class Probe(NamedTuple):
        target: str

    first = Probe

    class Probe(NamedTuple):  # type: ignore[no-redef]
        other: str

    with pytest.raises(TypeError, match='Probe'):
        write_schema({900: first, 901: Probe})
