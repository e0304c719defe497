"""Tests of unreadable records that another writer has left in the store."""

from __future__ import annotations

import asyncio
import struct
from base64 import b64encode
from contextlib import suppress

import msgspec
import pytest
from fleet.configuration_document import decode_configuration, decode_endpoint
from fleet.engine_report import decode_report
from fleet.log_records import decode_page, encode_record
from fleet.store_topic import decode_newest_item
from fleet_fixture import run_fleet
from hypothesis import given
from hypothesis import strategies as st

from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.translation_error import TranslationError
from savorychute.http.http_response import HttpResponse
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 30
# Entries are read about once a second.
NOTICE_S = 2.0
LENGTH = struct.Struct('>I')
HEAD = (9).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
VALID_RECORD = encode_record('i-1', b'{}')
ENTRY = {
    'service': 'x',
    'address': '10.128.0.9:8080',
    'zone': 'hall',
    'slots': 64,
    'state': 'ready',
    'sequence': 4,
}


def add_length(content):
    return LENGTH.pack(len(content)) + content


@pytest.mark.parametrize(
    'content',
    [b'', b'\x02\xff\xfe{}', b'\x09ab'],
    ids=['empty', 'key-not-utf-8', 'key-cut'],
)
def test_unreadable_record_does_not_stop_reading(content):
    """Guards against a topic whose changes no instance reads any more.

    Another writer has left one unreadable record.  The whole page around it was
    discarded, and the topic was read from the same offset for ever.
    """
    page = decode_page(HEAD + VALID_RECORD + add_length(content) + VALID_RECORD, 5)

    first, unreadable, last = page.records
    assert (first, last) == (
        KeyedRecord(5, 'i-1', b'{}'),
        KeyedRecord(7, 'i-1', b'{}'),
    )
    assert isinstance(unreadable, UnreadableRecord)
    assert (unreadable.offset, unreadable.key) == (6, None)


def test_truncated_page_returns_the_records_before_the_end():
    page = decode_page(HEAD + VALID_RECORD + b'\0\0\0\x09\x01a', 5)

    assert page.records == (KeyedRecord(5, 'i-1', b'{}'),)


@pytest.mark.parametrize(
    ('row', 'key'),
    [
        ({'key': 'a', 'value': 'e30='}, 'a'),
        ({'key': 'a', 'value': 'e30=', 'offset': 'x'}, 'a'),
        ({'key': 'a', 'value': 'e3', 'offset': 1}, 'a'),
        ({'value': 'e30=', 'offset': 1}, None),
        ({'key': 7, 'value': 'e30=', 'offset': 1}, None),
        (['a'], None),
    ],
)
def test_unreadable_row_of_a_listing_is_returned_as_such(row, key):
    """Guards against an instance without endpoints because one row had no offset."""
    item = decode_newest_item(row)

    assert isinstance(item, UnreadableRecord)
    assert item.key == key


def test_valid_row_of_a_listing_is_decoded():
    row = {'key': 'a', 'value': b64encode(b'x').decode(), 'offset': 3}

    assert decode_newest_item(row) == KeyedRecord(3, 'a', b'x')


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'gone'},
        {'service': ''},
        {'address': ':8080'},
        {'address': '10.128.0.9:99999'},
        {'address': 'nowhere:80'},
        {'slots': 0},
        {'slots': True},
        {'born': '1690000000000'},
        {'born': 1.5},
        {'born': True},
        {'sequence': None},
    ],
    ids=str,
)
def test_invalid_entry_is_rejected(change):
    """Guards against requests to a server in the state `gone`, or to port 99999."""
    with pytest.raises(TranslationError):
        decode_endpoint('i-1', msgspec.json.encode(ENTRY | change))


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'slots', 'state'])
def test_entry_without_a_required_field_is_rejected(field):
    document = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(TranslationError):
        decode_endpoint('i-1', msgspec.json.encode(document))


def test_entry_states_the_start_of_its_run():
    value = msgspec.json.encode(ENTRY | {'born': 1_690_000_000_000})

    assert decode_endpoint('i-1', value).born_ms == 1_690_000_000_000


def test_endpoint_with_an_unreadable_entry_receives_no_requests():
    """Guards against requests to an endpoint whose entry was overwritten."""

    async def scenario():
        async with asyncio.timeout(TEST_S), run_fleet(spare=True) as fleet:
            d1 = fleet.endpoints['d1']
            fleet.store.put('keyed.servers', 'd1', b'\xff{not json')
            await asyncio.sleep(NOTICE_S)
            received = len(d1.received)
            for _ in range(20):
                assert (await fleet.call('/a/1')).status == 200
            assert len(d1.received) == received
            fleet.write_entry('d1', sequence=9)
            await asyncio.sleep(NOTICE_S)
            for _ in range(20):
                assert (await fleet.call('/a/1')).status == 200
            assert len(d1.received) > received

    run_virtual(scenario())


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_translation_errors(data):
    with suppress(TranslationError):
        decode_page(HEAD + data, 0)
    for decode in (decode_configuration, decode_endpoint):
        with suppress(TranslationError):
            decode('config', data)
    decode_report(HttpResponse(200, {}, data))


@given(st.lists(st.binary(max_size=12), max_size=5), st.integers(0, 5))
def test_valid_record_among_arbitrary_others_is_read(others, position):
    contents = [add_length(each) for each in others]
    contents.insert(min(position, len(contents)), VALID_RECORD)
    page = decode_page(HEAD + b''.join(contents), 0)

    assert len(page.records) == len(contents)
    assert page.records[min(position, len(others))] == KeyedRecord(
        min(position, len(others)), 'i-1', b'{}'
    )


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['key', 'value', 'offset']), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@given(JSON)
def test_arbitrary_row_of_a_listing_is_a_record_or_unreadable(row):
    assert isinstance(decode_newest_item(row), KeyedRecord | UnreadableRecord)
