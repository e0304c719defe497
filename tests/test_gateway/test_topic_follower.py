"""Tests of following a topic through outages."""

from __future__ import annotations

import asyncio
import random

from gateway_fakes import START_MS

from savorychute.clock import ManualClock
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.store.call_meter import CallMeter
from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.pace import Pace
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_follower import TopicFollower
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.metrics import Metrics


class ScriptedTopic:
    """Gives prepared answers, then waits for ever."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.calls = []

    async def list_newest(self):
        self.calls.append('list')
        return await self._next()

    async def read_from(self, offset, wait_ms):
        del wait_ms
        self.calls.append(offset)
        return await self._next()

    async def _next(self):
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Heard:
    """Keeps what the follower tells."""

    def __init__(self):
        self.events = []

    def topic_listed(self, snapshot, began_ms):
        del began_ms
        self.events.append(('listed', [record.key for record in snapshot.records]))

    def topic_changed(self, delta, began_ms):
        del began_ms
        self.events.append(('changed', [record.key for record in delta.records]))

    def topic_failed(self, error):
        del error
        self.events.append(('failed', []))


class OpenGate:
    """Always reads on."""

    def is_open(self):
        return True

    def is_regular(self):
        return True

    def may_wait(self):
        return True

    def longest_retry_ms(self):
        return 500

    def next_offset(self, read):
        return read


def follow(topic):
    heard = Heard()
    clock = ManualClock(START_MS)
    meter = CallMeter(Metrics('k0', GATEWAY_METRICS))
    follower = TopicFollower(
        topic,
        Pace(0, 0),
        OpenGate(),
        heard,
        clock,
        random.Random(1),
        meter.topic('endpoints'),
    )

    async def run():
        task = asyncio.create_task(follower.run())
        for _ in range(200):
            await asyncio.sleep(0.002)
            if not topic._answers and topic.calls:
                break
        await asyncio.sleep(0.002)
        task.cancel()

    asyncio.run(run())
    heard.calls = meter.summary()
    return heard


def test_reading_goes_on_from_the_end_of_the_listing():
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(3, 'a', b'1'),), 4),
        TopicDelta((KeyedRecord(4, 'b', b'1'),), 5),
    )

    assert follow(topic).events == [('listed', ['a']), ('changed', ['b'])]
    assert topic.calls == ['list', 4, 5]


def test_lost_history_is_listed_anew():
    """A change that vanished.

    The store forgets its history while a change is made.  The newest record of the key
    is still there, and only a listing shows it.
    """
    topic = ScriptedTopic(
        TopicSnapshot((), 4),
        HistoryLostError('gone'),
        TopicSnapshot((KeyedRecord(9, 'a', b'2'),), 10),
    )

    assert follow(topic).events == [('listed', []), ('listed', ['a'])]


def test_outage_is_told_and_survived():
    topic = ScriptedTopic(
        StoreUnavailableError('down'),
        StoreUnavailableError('down'),
        TopicSnapshot((KeyedRecord(1, 'a', b'1'),), 2),
    )

    assert follow(topic).events == [('failed', []), ('failed', []), ('listed', ['a'])]


def test_calls_are_counted_by_purpose():
    """A price that nobody could explain.

    Calls to the store cost a large installation more than all else, and no metric said
    which were made at the start, which for all instances, and which after a failure.
    """
    topic = ScriptedTopic(
        TopicSnapshot((), 4),
        TopicDelta((), 4),
        StoreUnavailableError('down'),
        TopicDelta((), 4),
    )

    assert follow(topic).calls == {'endpoints': 'read-for-all=4,list=1'}


def test_one_that_is_versions_behind_takes_the_newest():
    """An instance that read each of five large versions while the next ones came.

    Over its link a version takes about as long as until the next one is written, so
    what it handled requests by was always several versions old.
    """
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(0, 'config', b'1'),), 1),
        TopicDelta((KeyedRecord(1, 'config', b'2'),), 2, 6),
        TopicSnapshot((KeyedRecord(5, 'config', b'6'),), 6),
    )

    follow(topic)

    assert topic.calls == ['list', 1, 'list', 6]


def test_one_that_has_nearly_read_all_reads_on():
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(0, 'a', b'1'),), 1),
        TopicDelta((KeyedRecord(1, 'a', b'2'),), 2, 3),
        TopicDelta((KeyedRecord(2, 'a', b'3'),), 3, 3),
    )

    follow(topic)

    assert topic.calls == ['list', 1, 2, 3]


def test_records_of_another_era_are_not_taken():
    """Offsets that the store gave out again after it came back from an older copy."""
    topic = ScriptedTopic(
        TopicSnapshot((KeyedRecord(6, 'config', b'1'),), 7, 1),
        TopicDelta((KeyedRecord(7, 'config', b'9'),), 8, 8, 2),
        TopicSnapshot((KeyedRecord(3, 'config', b'2'),), 8, 2),
    )

    heard = follow(topic)

    assert topic.calls == ['list', 7, 'list', 8]
    assert [event for event, _ in heard.events] == ['listed', 'listed']
