"""Carries out the duties of one instance for all."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.duties.duty_order import DutyOrder, DutyOutcome
from savorychute.gateway.duties.usage_duty import StepKind
from savorychute.gateway.store.call_purpose import CallPurpose
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
    WriteConflictError,
)
from savorychute.http.call_failure import CallFailure
from savorychute.http.timed_call import fetch

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from savorychute.clock import Clock
    from savorychute.gateway.daemon.server_work import ServerWork
    from savorychute.gateway.duties.conditional_write import ConditionalWrite
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.duty_claims import DutyClaims
    from savorychute.gateway.duties.server_duty import ServerOrder
    from savorychute.gateway.duties.true_time import TrueTime
    from savorychute.gateway.duties.usage_duty import UsageDuty, UsageStep
    from savorychute.gateway.duty_telemetry import DutyTelemetry
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.write_receipt import WriteReceipt
    from savorychute.http.client_pool import ClientPool, ServerAddress
    from savorychute.http.http_request import HttpRequest

WORK_MS = 100
# Between two looks at all endpoints; they come and go within seconds.
SERVERS_MS = 1_000
# A read of the topic waits so long for a record; the holder renews more often.
READ_WAIT_MS = 2_000
RETRY_MS = 300
# For an answer of the platform.  The same report is sent again, so a call that is carried
# out late does no harm.
CALL_TIMEOUT_MS = 1_500
# When no call gets through for so long another instance may reach the platform,
FAILING_MS = 3_000
# and this one stays out until the other has had time to try.
OUT_MS = 6_000


class PlatformLine:
    """The platform's address for duties, and how it is called.

    :param pool: connections.
    :param address: of the platform.
    :param adapter: how it speaks.
    """

    def __init__(
        self, pool: ClientPool, address: ServerAddress, adapter: PlatformAdapter
    ) -> None:
        self._pool = pool
        self._address = address
        self._adapter = adapter

    async def report(self, step: UsageStep, order: DutyOrder) -> DutyOutcome:
        """Send a report; return how the platform took it."""
        request = self._adapter.encode_usage(step.report, order)
        return await self._call(request)

    async def order(self, servers: ServerOrder, order: DutyOrder) -> DutyOutcome:
        """Order endpoints; return how the platform took it.

        The same status tells of a later holder and of a kind that is not to be had now.  A
        later holder shows in the topic of claims, so the second is assumed.
        """
        outcome = await self._call(self._adapter.encode_servers(servers, order))
        return DutyOutcome.UNAVAILABLE if outcome is DutyOutcome.FENCED else outcome

    async def _call(self, request: HttpRequest) -> DutyOutcome:
        answer = await fetch(self._pool, self._address, request, CALL_TIMEOUT_MS)
        if isinstance(answer, CallFailure):
            return DutyOutcome.UNKNOWN if answer.sent else DutyOutcome.UNAVAILABLE
        return self._adapter.decode_duty_answer(answer.status)


class DutyWorker:
    """Reads and writes claims, and carries out what the holder has to do.

    :param instance: this instance's name.
    :param topic: where claims and settled reports stand.
    :param line: the platform.
    :param claims: who holds the duties.
    :param usage: what is to be reported, None if nothing is.
    :param servers: what is to be ordered, None if nothing is.
    :param candidates: who may hold the duties.
    :param time: the true time.
    :param clock: the time.
    :param telemetry: is told of each change and report.
    :param count_call: counts each call to the store.
    """

    def __init__(
        self,
        instance: str,
        topic: KeyedTopic,
        line: PlatformLine,
        claims: DutyClaims,
        usage: UsageDuty | None,
        servers: ServerWork | None,
        candidates: DutyCandidates,
        time: TrueTime,
        clock: Clock,
        telemetry: DutyTelemetry,
        count_call: Callable[[CallPurpose], None],
    ) -> None:
        self._instance = instance
        self._topic = topic
        self._line = line
        self._claims = claims
        self._usage = usage
        self._servers = servers
        self._candidates = candidates
        self._time = time
        self._clock = clock
        self._telemetry = telemetry
        self._count_call = count_call
        self._tasks: set[asyncio.Task[None]] = set()
        self._writing = False
        self._servers_ms = 0
        self._leaving = False
        self._failing_since_ms: int | None = None

    async def run(self) -> None:
        """Take part until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._work())

    def leave(self) -> None:
        """Give the duties up, and claim them no more."""
        self._leaving = True
        self._release()

    # -- the topic

    async def _follow(self) -> None:
        while True:
            if not self._takes_part():
                await asyncio.sleep(WORK_MS / MS_PER_S)
                continue
            try:
                await self._read()
            except HistoryLostError:
                self._claims.records.next_offset = None
            except StoreUnavailableError as error:
                self._telemetry.store_failed('duties', error)
                await asyncio.sleep(RETRY_MS / MS_PER_S)
            else:
                self._telemetry.store_answered('duties')

    async def _read(self) -> None:
        offset = self._claims.records.next_offset
        if offset is None:
            self._count_call(CallPurpose.LIST)
            snapshot = await self._topic.list_newest()
            now_ms = self._clock.now_ms()
            self._claims.apply_snapshot(snapshot, now_ms, self._time.now_ms())
            return
        self._count_call(CallPurpose.READ_DUTIES)
        delta = await self._topic.read_from(offset, READ_WAIT_MS)
        self._claims.apply_delta(delta, self._clock.now_ms())

    def _takes_part(self) -> bool:
        if self._claims.fencing_number(self._clock.now_ms()) is not None:
            return True
        return self._candidates.is_candidate and not self._leaving

    # -- the work

    async def _work(self) -> None:
        while True:
            self._tick(self._clock.now_ms())
            await asyncio.sleep(WORK_MS / MS_PER_S)

    def _tick(self, now_ms: int) -> None:
        wanted = self._candidates.is_candidate and not self._leaving
        for write in self._claims.tick(now_ms, should_hold=wanted):
            self._start(self._claim(write))
        for change in self._claims.take_changes():
            self._telemetry.duty_changed(change)
        if self._claims.fencing_number(now_ms) is None:
            return
        era_write = self._claims.records.era_write()
        if era_write is not None and not self._writing:
            self._writing = True
            self._start(self._write_record(era_write))
        if self._servers is not None and now_ms >= self._servers_ms:
            self._servers_ms = now_ms + SERVERS_MS
            self._order_servers(self._servers, now_ms)
        if self._usage is not None:
            self._report_usage(self._usage, now_ms)

    def _report_usage(self, usage: UsageDuty, now_ms: int) -> None:
        members = self._candidates.alive_members
        for step in usage.due_steps(members, self._time.now_ms(), now_ms):
            work = self._settle if step.kind is StepKind.SETTLE else self._send
            self._start(work(usage, step))

    def _order_servers(self, servers: ServerWork, now_ms: int) -> None:
        decided = servers.look(now_ms)
        write = self._claims.records.fleet_write(decided)
        if write is not None and not self._writing:
            self._writing = True
            self._telemetry.servers_decided(decided)
            self._start(self._write_record(write))
        for order in servers.orders(now_ms):
            self._start(self._order(servers, order))

    async def _order(self, servers: ServerWork, order: ServerOrder) -> None:
        fencing = self._claims.fencing_number(self._clock.now_ms())
        outcome = DutyOutcome.UNAVAILABLE
        if fencing is not None:
            outcome = await self._line.order(order, DutyOrder(self._instance, fencing))
        self._telemetry.servers_ordered(order, outcome, fencing or 0)
        servers.duty.order_ended(order, outcome, self._clock.now_ms())

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, write: ConditionalWrite) -> WriteReceipt | None:
        """Write a record; return where it stands, or None if that is not known."""
        receipt = None
        refused = False
        self._count_call(CallPurpose.WRITE_DUTIES)
        try:
            receipt = await self._topic.write(
                write.key, write.value, write.expected_end
            )
        except WriteConflictError:
            # Another record came first; the next read shows it.
            refused = True
        except StoreUnavailableError as error:
            self._telemetry.store_failed('duties', error)
        now_ms = self._clock.now_ms()
        self._claims.write_finished(write, receipt, now_ms, refused=refused)
        return receipt

    async def _claim(self, write: ConditionalWrite) -> None:
        await self._write(write)

    async def _write_record(self, write: ConditionalWrite) -> None:
        try:
            await self._write(write)
        finally:
            self._writing = False

    async def _settle(self, usage: UsageDuty, step: UsageStep) -> None:
        outcome = DutyOutcome.UNAVAILABLE
        write = self._claims.records.settle_write(step.report)
        receipt = await self._write(write) if write is not None else None
        if receipt is not None:
            self._claims.records.report_written(step.report, receipt)
            outcome = DutyOutcome.ACCEPTED
        self._end_step(usage, step, outcome, 0)

    async def _send(self, usage: UsageDuty, step: UsageStep) -> None:
        fencing = self._claims.fencing_number(self._clock.now_ms())
        if fencing is None:
            self._end_step(usage, step, DutyOutcome.UNAVAILABLE, 0)
            return
        order = DutyOrder(self._instance, fencing)
        outcome = await self._line.report(step, order)
        now_ms = self._clock.now_ms()
        if outcome is DutyOutcome.FENCED:
            self._claims.handle_refusal(fencing, now_ms)
        self._note_reached(outcome, now_ms)
        self._end_step(usage, step, outcome, fencing)

    def _end_step(
        self, usage: UsageDuty, step: UsageStep, outcome: DutyOutcome, fencing: int
    ) -> None:
        self._telemetry.usage_step(step, outcome, fencing)
        usage.step_ended(step, outcome, self._clock.now_ms())

    def _note_reached(self, outcome: DutyOutcome, now_ms: int) -> None:
        """Give the duties up when the platform cannot be reached from here."""
        if outcome in (DutyOutcome.ACCEPTED, DutyOutcome.FENCED):
            self._failing_since_ms = None
            return
        since_ms = self._failing_since_ms
        if since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - since_ms >= FAILING_MS:
            self._failing_since_ms = None
            self._release()

    def _release(self) -> None:
        now_ms = self._clock.now_ms()
        for write in self._claims.release(now_ms, now_ms + OUT_MS):
            self._start(self._claim(write))
