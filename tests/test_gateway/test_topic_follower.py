"""Tests of following a topic across outages."""

from __future__ import annotations

import asyncio
import random

from gateway_fakes import START_MS

from savorychute.clock import ManualClock
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.read_timing import ReadTiming
from savorychute.gateway.store.store_call_counter import StoreCallCounter
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_follower import TopicFollower
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.metrics import Metrics


class ScriptedTopic:
    """Returns prepared responses, then waits forever."""

    def __init__(self, *responses):
        self._responses = list(responses)
        self.calls = []

    async def list_newest(self):
        self.calls.append('list')
        return await self._next()

    async def read_from(self, offset, wait_ms):
        del wait_ms
        self.calls.append(offset)
        return await self._next()

    async def _next(self):
        if not self._responses:
            await asyncio.Event().wait()
        response = self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


class RecordingListener:
    """Records the calls of the follower."""

    def __init__(self):
        self.events = []

    def on_snapshot(self, snapshot, started_ms):
        del started_ms
        self.events.append(('listed', [record.key for record in snapshot.records]))

    def on_delta(self, delta, started_ms):
        del started_ms
        self.events.append(('changed', [record.key for record in delta.records]))

    def on_failure(self, error):
        del error
        self.events.append(('failed', []))


class OpenGate:
    """A gate that is always open."""

    def is_open(self):
        return True

    def reads_for_all(self):
        return True

    def can_wait(self):
        return True

    def max_retry_ms(self):
        return 500

    def next_offset(self, own_offset):
        return own_offset


def run_follower(topic):
    listener = RecordingListener()
    clock = ManualClock(START_MS)
    counter = StoreCallCounter(Metrics('k0', GATEWAY_METRICS))
    follower = TopicFollower(
        topic,
        ReadTiming(0, 0),
        OpenGate(),
        listener,
        clock,
        random.Random(1),
        counter.counter_for('endpoints'),
    )

    async def run():
        task = asyncio.create_task(follower.run())
        for _ in range(200):
            await asyncio.sleep(0.002)
            if not topic._responses and topic.calls:
                break
        await asyncio.sleep(0.002)
        task.cancel()

    asyncio.run(run())
    listener.calls = counter.summary()
    return listener


def test_reading_continues_from_the_end_of_the_listing():
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(3, 'a', b'1'),), 4),
        TopicDelta((KeyedRecord(4, 'b', b'1'),), 5),
    )

    assert run_follower(topic).events == [('listed', ['a']), ('changed', ['b'])]
    assert topic.calls == ['list', 4, 5]


def test_topic_is_listed_again_after_lost_history():
    """Guards against a change that is never read.

    The store drops its history while a change is written. The newest record of the key
    remains, and only a listing returns it.
    """
    topic = ScriptedTopic(
        TopicSnapshot((), 4),
        HistoryLostError('gone'),
        TopicSnapshot((KeyedRecord(9, 'a', b'2'),), 10),
    )

    assert run_follower(topic).events == [('listed', []), ('listed', ['a'])]


def test_outage_is_reported_and_retried():
    topic = ScriptedTopic(
        StoreUnavailableError('down'),
        StoreUnavailableError('down'),
        TopicSnapshot((KeyedRecord(1, 'a', b'1'),), 2),
    )

    assert run_follower(topic).events == [
        ('failed', []),
        ('failed', []),
        ('listed', ['a']),
    ]


def test_calls_are_counted_by_purpose():
    """Guards against costs of calls that no metric explains.

    Calls to the store are the largest cost of a large installation. Operators need to
    know which are made at the start, which for all instances, and which after a
    failure.
    """
    topic = ScriptedTopic(
        TopicSnapshot((), 4),
        TopicDelta((), 4),
        StoreUnavailableError('down'),
        TopicDelta((), 4),
    )

    assert run_follower(topic).calls == {'endpoints': 'read-for-all=4,list=1'}


def test_follower_far_behind_lists_the_newest_records():
    """Guards against an instance that stays several versions behind.

    A large version takes about as long to transfer as the interval between two
    versions. An instance that reads each of five versions always applies outdated ones.
    """
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(0, 'config', b'1'),), 1),
        TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 6),
        TopicSnapshot((KeyedRecord(5, 'config', b'6'),), 6),
    )

    run_follower(topic)

    assert topic.calls == ['list', 1, 'list', 6]


def test_follower_slightly_behind_reads_on():
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(0, 'a', b'1'),), 1),
        TopicDelta((KeyedRecord(1, 'a', b'2'),), 2, 3),
        TopicDelta((KeyedRecord(2, 'a', b'3'),), 3, 3),
    )

    run_follower(topic)

    assert topic.calls == ['list', 1, 2, 3]


def test_records_of_another_era_are_rejected():
    """The store reuses offsets after it was restored from an older copy."""
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(6, 'config', b'1'),), 7, 1),
        TopicDelta((KeyedRecord(7, 'config', b'9'),), 8, 8, 2),
        TopicSnapshot((KeyedRecord(3, 'config', b'2'),), 8, 2),
    )

    listener = run_follower(topic)

    assert topic.calls == ['list', 7, 'list', 8]
    assert [event for event, _ in listener.events] == ['listed', 'listed']
