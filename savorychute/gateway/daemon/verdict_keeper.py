"""Keeps verdicts on requests that crash endpoints in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.crashes.verdict import VerdictKey
from savorychute.gateway.recovery.stored_verdicts import (
    decode_verdicts,
    encode_verdict,
    make_record_key,
)
from savorychute.gateway.store.call_purpose import CallPurpose
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from savorychute.membership.rendezvous import score_member

if TYPE_CHECKING:
    import random

    from savorychute.clock import Clock, WallClock
    from savorychute.crashes.verdict import Verdict
    from savorychute.gateway.recovery.crash_exchange import CrashExchange
    from savorychute.gateway.recovery.crash_guard import CrashGuard
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.telemetry import GatewayTelemetry

TOPIC = 'verdicts'
TICK_INTERVAL_MS = 100
LIST_RETRY_MS = 300
RETRY_MS = 1_000
# Instances write a verdict one after the other, until one has succeeded.
TURN_MS = 300
MAX_WRITERS = 4
LISTING_INTERVAL_MS = 30_000
ALL_VERDICTS = VerdictKey('', ())


class VerdictKeeper:
    """Reads the verdicts of earlier runs, and writes each change once.

    Verdicts outlast a loss of all instances only in the store.  They are rare.

    :param topic: the topic of verdicts.
    :param guard: the verdicts of this instance.
    :param exchange: tells other instances what the store holds.
    :param eras: the newest known era of the store.
    :param clock: the clock.
    :param wall_clock: the wall clock, by which the store keeps the times of trials.
    :param rng: random numbers for delays.
    :param telemetry: counts the calls and logs failures.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        guard: CrashGuard,
        exchange: CrashExchange,
        eras: StoreEra,
        clock: Clock,
        wall_clock: WallClock,
        rng: random.Random,
        telemetry: GatewayTelemetry,
    ) -> None:
        self._topic = topic
        self._guard = guard
        self._exchange = exchange
        self._eras = eras
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._telemetry = telemetry
        self._count_calls = telemetry.calls.counter_for(TOPIC)
        self._era = 0
        self._next_listing_ms = 0
        # Since when each state of a verdict is not stored.
        self._unstored_ms: dict[tuple[VerdictKey, int], int] = {}
        guard.judge.is_examiner = lambda key: self._rank(key) == 0

    async def run(self) -> None:
        """Keep the verdicts until the task is cancelled."""
        while not await self._list():
            delay_ms = LIST_RETRY_MS * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(delay_ms / MS_PER_S)
        while True:
            self._follow_era()
            if self._is_listing_due():
                await self._list()
            delay_ms = TICK_INTERVAL_MS
            if not await self._write_due():
                delay_ms = RETRY_MS
            await asyncio.sleep(delay_ms / MS_PER_S)

    async def _list(self) -> bool:
        """Apply the stored verdicts; return whether the store has responded."""
        self._count_calls(CallPurpose.LIST)
        try:
            snapshot = await self._topic.list_newest()
        except (StoreUnavailableError, HistoryLostError) as error:
            self._telemetry.store_failed(TOPIC, error)
            return False
        self._telemetry.store_responded(TOPIC)
        self._era = snapshot.era
        now_ms = self._clock.now_ms()
        self._next_listing_ms = now_ms + LISTING_INTERVAL_MS
        for verdict in decode_verdicts(snapshot.records, self._wall_offset_ms()):
            is_new = self._guard.merge_verdict(verdict, now_ms)
            if not verdict.lifted:
                self._exchange.record_stored(verdict)
            elif is_new:
                # An operator has lifted it; the record is removed later.
                self._exchange.record_stored(
                    verdict._replace(sequence=verdict.sequence - 1)
                )
                self._exchange.report_verdict(verdict)
        self._guard.inform()
        return True

    def _is_listing_due(self) -> bool:
        """Return whether an operator may have lifted a verdict in the store.

        One instance looks for all, and only while there are verdicts.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_listing_ms or not len(self._guard.judge.verdicts):
            return False
        return self._rank(ALL_VERDICTS) == 0

    def _follow_era(self) -> None:
        """Write all verdicts again after the store went back to an older copy."""
        era = self._eras.current
        if era != self._era:
            self._era = era
            self._exchange.stored.clear()

    async def _write_due(self) -> bool:
        """Write what the store lacks; return false if the store does not respond."""
        now_ms = self._clock.now_ms()
        unstored = [each for each in self._guard.judge.verdicts if self._lacks(each)]
        known = {(each.key, each.sequence) for each in unstored}
        self._unstored_ms = {
            state: self._unstored_ms.get(state, now_ms) for state in known
        }
        for verdict in unstored:
            waited_ms = now_ms - self._unstored_ms[verdict.key, verdict.sequence]
            rank = self._rank(verdict.key)
            if rank is None or rank >= MAX_WRITERS or waited_ms < TURN_MS * rank:
                continue
            if not await self._write(verdict):
                return False
        return True

    def _lacks(self, verdict: Verdict) -> bool:
        """Return whether the store does not hold a verdict as it is now."""
        stored = self._exchange.stored.get(verdict.key, 0)
        if verdict.lifted and not stored:
            return False
        return stored < verdict.sequence

    async def _write(self, verdict: Verdict) -> bool:
        value = None
        if not verdict.lifted:
            value = encode_verdict(verdict, self._wall_offset_ms())
        self._count_calls(CallPurpose.WRITE_VERDICTS)
        try:
            await self._topic.write(make_record_key(verdict.key), value)
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)
            return False
        self._telemetry.store_responded(TOPIC)
        self._exchange.record_stored(verdict)
        self._exchange.report_verdict(verdict)
        return True

    def _rank(self, key: VerdictKey) -> int | None:
        """Return how many instances come before this one with a verdict.

        None means that the members are not known yet.
        """
        view = self._exchange.view
        if view is None:
            return None
        text = f'verdict/{make_record_key(key)}'
        own_score = score_member(text, view.own)
        return sum(score_member(text, each) > own_score for each in view.alive)

    def _wall_offset_ms(self) -> int:
        return self._wall_clock.wall_ms() - self._clock.now_ms()
