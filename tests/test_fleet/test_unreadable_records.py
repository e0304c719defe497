"""Tests of entries that another writer left in the store's topics."""

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
from hypothesis import given
from hypothesis import strategies as st
from rig import run_rig

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
GOOD = encode_record('i-1', b'{}')
ENTRY = {
    'service': 'x',
    'address': '10.128.0.9:8080',
    'zone': 'hall',
    'slots': 64,
    'state': 'ready',
    'sequence': 4,
}


def frame(content):
    return LENGTH.pack(len(content)) + content


@pytest.mark.parametrize(
    'content',
    [b'', b'\x02\xff\xfe{}', b'\x09ab'],
    ids=['empty', 'key-not-utf-8', 'key-cut'],
)
def test_one_bad_record_does_not_stop_the_reading(content):
    """No instance learned of any change for the rest of the day.

    Another writer has left one record that cannot be read.  The whole page around it was
    thrown away, and the topic was read from the same offset for ever.
    """
    page = decode_page(HEAD + GOOD + frame(content) + GOOD, 5)

    first, bad, last = page.records
    assert (first, last) == (
        KeyedRecord(5, 'i-1', b'{}'),
        KeyedRecord(7, 'i-1', b'{}'),
    )
    assert isinstance(bad, UnreadableRecord)
    assert (bad.offset, bad.key) == (6, None)


def test_page_that_is_cut_off_keeps_what_came_before():
    page = decode_page(HEAD + GOOD + b'\0\0\0\x09\x01a', 5)

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
def test_odd_row_of_a_listing_hides_no_other(row, key):
    """An instance that knew no endpoint after its start: one row had no offset."""
    item = decode_newest_item(row)

    assert isinstance(item, UnreadableRecord)
    assert item.key == key


def test_plain_row_of_a_listing():
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
def test_entry_that_makes_no_sense_names_no_endpoint(change):
    """Requests were sent to a server that had said `gone`, or to port 99999."""
    with pytest.raises(TranslationError):
        decode_endpoint('i-1', msgspec.json.encode(ENTRY | change))


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'slots', 'state'])
def test_entry_that_lacks_a_field_names_no_endpoint(field):
    document = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(TranslationError):
        decode_endpoint('i-1', msgspec.json.encode(document))


def test_entry_says_when_its_run_began():
    value = msgspec.json.encode(ENTRY | {'born': 1_690_000_000_000})

    assert decode_endpoint('i-1', value).born_ms == 1_690_000_000_000


def test_entry_that_becomes_unreadable_gets_nothing_new():
    """An endpoint whose entry was overwritten went on getting requests by the old one."""

    async def play():
        async with asyncio.timeout(TEST_S), run_rig(spare=True) as rig:
            d1 = rig.endpoints['d1']
            rig.store.put('keyed.servers', 'd1', b'\xff{not json')
            await asyncio.sleep(NOTICE_S)
            got = len(d1.got)
            for _ in range(20):
                assert (await rig.call('/a/1')).status == 200
            assert len(d1.got) == got
            rig.write_entry('d1', sequence=9)
            await asyncio.sleep(NOTICE_S)
            for _ in range(20):
                assert (await rig.call('/a/1')).status == 200
            assert len(d1.got) > got

    run_virtual(play())


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_what_is_typed(data):
    with suppress(TranslationError):
        decode_page(HEAD + data, 0)
    for decode in (decode_configuration, decode_endpoint):
        with suppress(TranslationError):
            decode('config', data)
    decode_report(HttpResponse(200, {}, data))


@given(st.lists(st.binary(max_size=12), max_size=5), st.integers(0, 5))
def test_good_record_among_any_others_is_read(others, place):
    contents = [frame(each) for each in others]
    contents.insert(min(place, len(contents)), GOOD)
    page = decode_page(HEAD + b''.join(contents), 0)

    assert len(page.records) == len(contents)
    assert page.records[min(place, len(others))] == KeyedRecord(
        min(place, len(others)), 'i-1', b'{}'
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
