"""Carries out duties that one instance has for all instances."""

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
    from savorychute.gateway.daemon.server_planner import ServerPlanner
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

TICK_INTERVAL_MS = 100
# Interval between two checks of all endpoints, which may start and end within seconds.
SERVER_CHECK_INTERVAL_MS = 1_000
# How long a read of the topic waits for a record; the holder renews more often.
READ_WAIT_MS = 2_000
STORE_RETRY_MS = 300
# Timeout of a response from the platform.  A retry sends the same report, so a call
# that takes effect late is harmless.
CALL_TIMEOUT_MS = 1_500
# The duties are released after calls have failed this long: another instance may be
# able to reach the platform.
UNREACHABLE_RELEASE_MS = 3_000
# How long this instance then claims no duties, so that another one has time to try.
CLAIM_PAUSE_MS = 6_000


class DutyPlatformClient:
    """Calls the platform for duties.

    :param pool: HTTP connections.
    :param address: the platform's address for duties.
    :param adapter: translates the calls.
    """

    def __init__(
        self, pool: ClientPool, address: ServerAddress, adapter: PlatformAdapter
    ) -> None:
        self._pool = pool
        self._address = address
        self._adapter = adapter

    async def report(self, step: UsageStep, duty_order: DutyOrder) -> DutyOutcome:
        """Send a usage report; return the platform's response."""
        request = self._adapter.encode_usage(step.report, duty_order)
        return await self._call(request)

    async def order_servers(
        self, server_order: ServerOrder, duty_order: DutyOrder
    ) -> DutyOutcome:
        """Order endpoints; return the platform's response.

        The platform uses one status both for a later holder and for a kind of endpoint
        that is not available now.  The topic of claims shows a later holder, so here
        the status is taken to mean that the kind is not available.
        """
        outcome = await self._call(
            self._adapter.encode_servers(server_order, duty_order)
        )
        return DutyOutcome.UNAVAILABLE if outcome is DutyOutcome.FENCED else outcome

    async def _call(self, request: HttpRequest) -> DutyOutcome:
        response = await fetch(self._pool, self._address, request, CALL_TIMEOUT_MS)
        if isinstance(response, CallFailure):
            return DutyOutcome.UNKNOWN if response.sent else DutyOutcome.UNAVAILABLE
        return self._adapter.decode_duty_response(response.status)


class DutyWorker:
    """Reads and writes claims, and carries out the duties while it holds them.

    :param instance: name of this instance.
    :param topic: the topic of claims and settled reports.
    :param platform: sends reports and orders to the platform.
    :param claims: state of the claims to the duties.
    :param usage: the usage reports; None if usage is not reported.
    :param servers: plans orders of endpoints; None if none are ordered.
    :param candidates: the instances that may hold the duties.
    :param time: estimate of the true wall-clock time.
    :param clock: monotonic clock.
    :param telemetry: logs each change and report.
    :param count_call: counts each call to the store.
    """

    def __init__(
        self,
        instance: str,
        topic: KeyedTopic,
        platform: DutyPlatformClient,
        claims: DutyClaims,
        usage: UsageDuty | None,
        servers: ServerPlanner | None,
        candidates: DutyCandidates,
        time: TrueTime,
        clock: Clock,
        telemetry: DutyTelemetry,
        count_call: Callable[[CallPurpose], None],
    ) -> None:
        self._instance = instance
        self._topic = topic
        self._platform = platform
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
        self._next_server_check_ms = 0
        self._leaving = False
        self._unreachable_since_ms: int | None = None

    async def run(self) -> None:
        """Claim and carry out duties until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_topic())
            group.create_task(self._carry_out_duties())

    def leave(self) -> None:
        """Release the duties, and stop claiming them."""
        self._leaving = True
        self._release()

    # -- the topic

    async def _follow_topic(self) -> None:
        while True:
            if not self._is_participating():
                await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)
                continue
            try:
                await self._read()
            except HistoryLostError:
                self._claims.records.next_offset = None
            except StoreUnavailableError as error:
                self._telemetry.store_failed('duties', error)
                await asyncio.sleep(STORE_RETRY_MS / MS_PER_S)
            else:
                self._telemetry.store_responded('duties')

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

    def _is_participating(self) -> bool:
        if self._claims.fencing_number(self._clock.now_ms()) is not None:
            return True
        return self._candidates.is_candidate and not self._leaving

    # -- the duties

    async def _carry_out_duties(self) -> None:
        while True:
            self._tick(self._clock.now_ms())
            await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)

    def _tick(self, now_ms: int) -> None:
        wanted = self._candidates.is_candidate and not self._leaving
        for write in self._claims.tick(now_ms, should_hold=wanted):
            self._start_task(self._write_claim(write))
        for change in self._claims.take_changes():
            self._telemetry.duty_changed(change)
        if self._claims.fencing_number(now_ms) is None:
            return
        era_write = self._claims.records.era_write()
        if era_write is not None and not self._writing:
            self._writing = True
            self._start_task(self._write_record(era_write))
        if self._servers is not None and now_ms >= self._next_server_check_ms:
            self._next_server_check_ms = now_ms + SERVER_CHECK_INTERVAL_MS
            self._order_servers(self._servers, now_ms)
        if self._usage is not None:
            self._report_usage(self._usage, now_ms)

    def _report_usage(self, usage: UsageDuty, now_ms: int) -> None:
        members = self._candidates.alive_members
        for step in usage.due_steps(members, self._time.now_ms(), now_ms):
            carry_out = (
                self._settle_window
                if step.kind is StepKind.SETTLE
                else self._send_report
            )
            self._start_task(carry_out(usage, step))

    def _order_servers(self, servers: ServerPlanner, now_ms: int) -> None:
        decided = servers.decide_fleets(now_ms)
        write = self._claims.records.fleet_write(decided)
        if write is not None and not self._writing:
            self._writing = True
            self._telemetry.servers_decided(decided)
            self._start_task(self._write_record(write))
        for server_order in servers.due_orders(now_ms):
            self._start_task(self._send_order(servers, server_order))

    async def _send_order(
        self, servers: ServerPlanner, server_order: ServerOrder
    ) -> None:
        fencing = self._claims.fencing_number(self._clock.now_ms())
        outcome = DutyOutcome.UNAVAILABLE
        if fencing is not None:
            outcome = await self._platform.order_servers(
                server_order, DutyOrder(self._instance, fencing)
            )
        self._telemetry.servers_ordered(server_order, outcome, fencing or 0)
        servers.duty.order_ended(server_order, outcome, self._clock.now_ms())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try_write(self, write: ConditionalWrite) -> WriteReceipt | None:
        """Write a record; return its receipt, or None if the outcome is unknown."""
        receipt = None
        refused = False
        self._count_call(CallPurpose.WRITE_DUTIES)
        try:
            receipt = await self._topic.write(
                write.key, write.value, write.expected_end
            )
        except WriteConflictError:
            # Another record was written first; the next read returns it.
            refused = True
        except StoreUnavailableError as error:
            self._telemetry.store_failed('duties', error)
        now_ms = self._clock.now_ms()
        self._claims.write_finished(write, receipt, now_ms, refused=refused)
        return receipt

    async def _write_claim(self, write: ConditionalWrite) -> None:
        await self._try_write(write)

    async def _write_record(self, write: ConditionalWrite) -> None:
        try:
            await self._try_write(write)
        finally:
            self._writing = False

    async def _settle_window(self, usage: UsageDuty, step: UsageStep) -> None:
        outcome = DutyOutcome.UNAVAILABLE
        write = self._claims.records.settle_write(step.report)
        receipt = await self._try_write(write) if write is not None else None
        if receipt is not None:
            self._claims.records.report_written(step.report, receipt)
            outcome = DutyOutcome.ACCEPTED
        self._finish_step(usage, step, outcome, 0)

    async def _send_report(self, usage: UsageDuty, step: UsageStep) -> None:
        fencing = self._claims.fencing_number(self._clock.now_ms())
        if fencing is None:
            self._finish_step(usage, step, DutyOutcome.UNAVAILABLE, 0)
            return
        duty_order = DutyOrder(self._instance, fencing)
        outcome = await self._platform.report(step, duty_order)
        now_ms = self._clock.now_ms()
        if outcome is DutyOutcome.FENCED:
            self._claims.handle_refusal(fencing, now_ms)
        self._record_reachability(outcome, now_ms)
        self._finish_step(usage, step, outcome, fencing)

    def _finish_step(
        self, usage: UsageDuty, step: UsageStep, outcome: DutyOutcome, fencing: int
    ) -> None:
        self._telemetry.usage_step(step, outcome, fencing)
        usage.step_ended(step, outcome, self._clock.now_ms())

    def _record_reachability(self, outcome: DutyOutcome, now_ms: int) -> None:
        """Release the duties if the platform stays unreachable from this instance."""
        if outcome in (DutyOutcome.ACCEPTED, DutyOutcome.FENCED):
            self._unreachable_since_ms = None
            return
        since_ms = self._unreachable_since_ms
        if since_ms is None:
            self._unreachable_since_ms = now_ms
        elif now_ms - since_ms >= UNREACHABLE_RELEASE_MS:
            self._unreachable_since_ms = None
            self._release()

    def _release(self) -> None:
        now_ms = self._clock.now_ms()
        for write in self._claims.release(now_ms, now_ms + CLAIM_PAUSE_MS):
            self._start_task(self._write_claim(write))
