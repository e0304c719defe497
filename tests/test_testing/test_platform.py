"""Tests of the stand-ins for the platform and for plain services."""

from __future__ import annotations

from random import Random

from savorychute.member_address import MemberAddress
from savorychute.testing.append_log import AppendLog, LogSettings
from savorychute.testing.instance_list import InstanceList
from savorychute.testing.plain_service import (
    PlainService,
    ServiceAccepted,
    ServiceAnswered,
    ServiceRefused,
    ServiceRequest,
    ServiceSettings,
)

CALL = ServiceRequest('a', 'POST', '/visits', b'visit 7')


def test_offsets_count_up_in_each_stream():
    log = AppendLog(LogSettings(), Random(1))
    offsets = [log.append(stream, b'x', 0).offset for stream in ('a', 'a', 'b')]
    assert offsets == [0, 1, 0]


def test_lost_reply_leaves_the_record_in_the_log():
    log = AppendLog(LogSettings(), Random(1))
    log.replies_to_lose = 1
    assert log.append('a', b'x', 0).outcome == 'lost'
    assert [record.payload for record in log.read('a', 0, 9, 0).records] == [b'x']


def test_append_rate_is_limited():
    log = AppendLog(LogSettings(appends_per_s=10, burst_appends=2), Random(1))
    outcomes = [log.append('a', b'x', 0).outcome for _ in range(3)]
    assert outcomes == ['appended', 'appended', 'limited']
    assert log.append('a', b'x', 100).outcome == 'appended'


def test_old_records_are_removed_and_offsets_stay():
    log = AppendLog(LogSettings(retention_ms=1_000), Random(1))
    log.append('a', b'old', 0)
    log.append('a', b'new', 900)
    read_result = log.read('a', 0, 9, 1_500)
    assert (read_result.first_offset, read_result.end_offset) == (1, 2)
    assert read_result.records[0].payload == b'new'


def test_log_that_is_down_refuses():
    log = AppendLog(LogSettings(), Random(1))
    log.is_up = False
    assert log.append('a', b'x', 0).outcome == 'refused'
    assert log.read('a', 0, 9, 0) is None


def test_list_is_delayed():
    instances = InstanceList(lag_ms=1_000)
    address = MemberAddress('i1', 1, 'kerala', 'kochi-hall', '127.0.0.1', 1, 2)
    instances.put(address, 0)
    instances.delete('i1', 5_000)
    assert instances.fetch(5_500).live == (address,)
    assert instances.fetch(6_000).live == ()


def test_service_answers_and_counts_executions():
    service = PlainService(ServiceSettings(service_ms=20))
    assert service.submit(CALL, 0) == [ServiceAccepted('a')]
    (answer,) = service.advance(20)
    assert isinstance(answer, ServiceAnswered)
    assert service.executions == {'a': 1}


def test_refusing_service_executes_nothing():
    service = PlainService(ServiceSettings())
    service.refusing = True
    assert service.submit(CALL, 0) == [ServiceRefused('a', False)]
    assert service.executions == {}


def test_unresponsive_service_executes_calls_after_it_continues():
    service = PlainService(ServiceSettings())
    service.set_unresponsive(True, 0)
    assert service.submit(CALL, 0) == []
    assert service.executions == {}
    service.set_unresponsive(False, 1_000)
    assert service.executions == {'a': 1}
