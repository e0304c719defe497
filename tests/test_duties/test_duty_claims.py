"""Tests of claims and settled reports as the topic of duties shows them."""

from __future__ import annotations

import random

from savorychute.gateway.duties.duty_claims import DutyClaims
from savorychute.gateway.duties.duty_lease import DUTY_LEASE
from savorychute.gateway.duties.duty_record import (
    ERA_KEY,
    EraRecord,
    SettledRecord,
    encode_record,
    report_key,
)
from savorychute.gateway.duties.usage_report import make_report
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot

NOW_MS = 1_000
TRUE_MS = 1_800_000_000_000
REPORT = make_report(7, {'kochi': 3})


def make_claims(*records, era=2):
    """Return claims that have read a listing."""
    eras = StoreEra()
    eras.note(era)
    claims = DutyClaims('k0', DUTY_LEASE, random.Random(1), eras)
    claims.take_listing(TopicSnapshot(records, 20, era), NOW_MS, TRUE_MS)
    return claims, eras


def settled_in(era):
    record = SettledRecord(era, REPORT)
    return KeyedRecord(12, report_key(REPORT.window), encode_record(record))


def test_report_of_this_era_is_settled():
    claims, _ = make_claims(settled_in(2), era=2)

    assert claims.records.settled(REPORT.window) == REPORT


def test_report_of_an_earlier_era_is_not_taken_for_settled():
    """A report that was written late, into the era after the one that it is of.

    Its writer had been followed, and its successor's report was sent and lost with the copy.
    """
    claims, _ = make_claims(settled_in(1), era=2)

    assert claims.records.settled(REPORT.window) is None


def test_report_that_was_read_in_its_era_stays_known():
    claims, eras = make_claims(settled_in(1), era=1)
    eras.note(2)
    claims.take_listing(TopicSnapshot((), 5, 2), NOW_MS, TRUE_MS)

    assert claims.records.settled(REPORT.window) == REPORT


def test_window_that_ended_before_the_era_may_have_a_lost_report():
    claims, _ = make_claims()

    assert not claims.records.may_settle(TRUE_MS - 1)
    assert claims.records.may_settle(TRUE_MS + 5_000)


def test_era_that_others_know_longer_is_believed():
    """An instance that has just started reports windows that ended before."""
    record = EraRecord(2, TRUE_MS - 60_000)
    claims, _ = make_claims(KeyedRecord(3, ERA_KEY, encode_record(record)))

    assert claims.records.may_settle(TRUE_MS - 10_000)
    assert claims.records.era_write() is None


def test_era_of_a_copy_says_nothing_of_this_one():
    record = EraRecord(1, TRUE_MS - 60_000)
    claims, _ = make_claims(KeyedRecord(3, ERA_KEY, encode_record(record)))

    assert not claims.records.may_settle(TRUE_MS - 10_000)


def test_records_at_an_offset_of_another_era_are_not_taken():
    """Offsets that are given out again, to other records."""
    claims, _ = make_claims(era=1)
    claims.take_delta(TopicDelta((settled_in(2),), 21, 21, 2), NOW_MS)

    assert claims.records.next_offset is None
    assert claims.records.settled(REPORT.window) is None


def test_nothing_is_held_in_an_era_that_is_not_read_yet():
    claims, eras = make_claims(era=1)
    eras.note(2)

    assert claims.fencing(NOW_MS) is None
    assert not claims.tick(NOW_MS + 10_000, wanted=True)
