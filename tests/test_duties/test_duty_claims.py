"""Tests of claims and settled reports that are read from the topic of duties."""

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
from savorychute.gateway.duties.usage_report import make_usage_report
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot

NOW_MS = 1_000
TRUE_MS = 1_800_000_000_000
REPORT = make_usage_report(7, {'kochi': 3})


def make_claims(*records, era=2):
    """Return claims that have read a snapshot."""
    store_era = StoreEra()
    store_era.record(era)
    claims = DutyClaims('k0', DUTY_LEASE, random.Random(1), store_era)
    claims.apply_snapshot(TopicSnapshot(records, 20, era), NOW_MS, TRUE_MS)
    return claims, store_era


def make_settled_record(era):
    record = SettledRecord(era, REPORT)
    return KeyedRecord(12, report_key(REPORT.window), encode_record(record))


def test_report_of_this_era_is_settled():
    claims, _ = make_claims(make_settled_record(2), era=2)

    assert claims.records.settled_report(REPORT.window) == REPORT


def test_report_of_an_earlier_era_is_not_settled():
    """A report whose write the store executed late, in the following era.

    Its writer had been replaced; the successor's report had been sent, and its record
    was lost with the restore of the older copy.
    """
    claims, _ = make_claims(make_settled_record(1), era=2)

    assert claims.records.settled_report(REPORT.window) is None


def test_report_read_in_its_own_era_stays_settled():
    claims, store_era = make_claims(make_settled_record(1), era=1)
    store_era.record(2)
    claims.apply_snapshot(TopicSnapshot((), 5, 2), NOW_MS, TRUE_MS)

    assert claims.records.settled_report(REPORT.window) == REPORT


def test_window_that_ended_before_the_era_cannot_be_settled():
    claims, _ = make_claims()

    assert not claims.records.can_settle(TRUE_MS - 1)
    assert claims.records.can_settle(TRUE_MS + 5_000)


def test_earlier_start_of_the_era_in_the_topic_is_used():
    """A newly started instance reports windows that ended before its start."""
    record = EraRecord(2, TRUE_MS - 60_000)
    claims, _ = make_claims(KeyedRecord(3, ERA_KEY, encode_record(record)))

    assert claims.records.can_settle(TRUE_MS - 10_000)
    assert claims.records.era_write() is None


def test_record_of_an_earlier_era_is_ignored():
    record = EraRecord(1, TRUE_MS - 60_000)
    claims, _ = make_claims(KeyedRecord(3, ERA_KEY, encode_record(record)))

    assert not claims.records.can_settle(TRUE_MS - 10_000)


def test_records_read_in_another_era_are_rejected():
    """The store reuses offsets for other records."""
    claims, _ = make_claims(era=1)
    claims.apply_delta(TopicDelta((make_settled_record(2),), 21, 21, 2), NOW_MS)

    assert claims.records.next_offset is None
    assert claims.records.settled_report(REPORT.window) is None


def test_duties_are_not_held_in_an_era_not_read_yet():
    claims, store_era = make_claims(era=1)
    store_era.record(2)

    assert claims.fencing_number(NOW_MS) is None
    assert not claims.tick(NOW_MS + 10_000, should_hold=True)
