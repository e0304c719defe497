"""Configuration managers in a lossy network on a virtual clock."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from savorychute.actions.append_record import AppendRecord
from savorychute.actions.operator_reply import OperatorReply
from savorychute.actions.read_records import ReadRecords
from savorychute.actions.send_peer import SendPeer
from savorychute.configuration.manager import ConfigurationManager
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.inputs.append_finished import AppendFinished
from savorychute.inputs.log_record import LogRecord
from savorychute.inputs.records_read import RecordsRead
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

if TYPE_CHECKING:
    from collections.abc import Callable

LOG_LATENCY_MS = 20
NEAR_LATENCY_MS = 1
FAR_LATENCY_MS = 40
TICK_MS = 200


def make_contract(organisation: str, pool_share: float = 0.0005) -> dict[str, Any]:
    """Return a contract of ordinary size."""
    token_hash = random.Random(organisation).randbytes(32).hex()
    classes = [
        {
            'name': name,
            'tier': tier,
            'first_token_target_ms': 320,
            'token_gap_target_ms': 52,
            'timeout_ms': 60_000,
            'weight': 1.0,
            'idempotent': tier != 1,
            'patient': tier == 4,
            'minimum_share': 0.05,
        }
        for tier, name in enumerate(['diagnosis', 'visit', 'scan', 'draft', 'audit'])
    ]
    return {
        'organisation': organisation,
        'token_hashes': [token_hash],
        'pool_share': pool_share,
        'requests_per_s': 20.0,
        'concurrent_requests': 40,
        'tokens_per_s': 4_000.0,
        'models': ['small', 'large'],
        'services': ['register'],
        'classes': classes,
        'retry_share': 0.1,
    }


def make_endpoint(name: str, state: str = 'active') -> dict[str, Any]:
    """Return the document of a model engine."""
    return {
        'endpoint': name,
        'dialect': 'openai',
        'host': '10.0.0.1',
        'port': 8000,
        'region': 'north',
        'failure_domain': 'north-1',
        'state': state,
        'concurrent_requests': 64,
        'models': ['small', 'large'],
        'checks_fencing': True,
    }


class FakeLog:
    """A log of record streams that can be unavailable and expire records."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.first_offsets: dict[str, int] = {}
        self.is_up = True
        self.lose_replies = False
        self.appends = 0
        self.reads = 0

    def append(self, action: AppendRecord) -> AppendFinished:
        """Append a record, refuse it, or lose the reply."""
        if not self.is_up:
            return AppendFinished(action.append_id, action.stream, 'refused')
        records = self.streams.setdefault(action.stream, [])
        records.append(action.payload)
        self.appends += 1
        if self.lose_replies:
            return AppendFinished(action.append_id, action.stream, 'unknown')
        offset = len(records) - 1
        return AppendFinished(action.append_id, action.stream, 'appended', offset)

    def read(self, action: ReadRecords) -> RecordsRead:
        """Return records from an offset on, without expired ones."""
        self.reads += 1
        if not self.is_up:
            return RecordsRead(action.stream, ok=False)
        records = self.streams.get(action.stream, [])
        first_offset = self.first_offsets.get(action.stream, 0)
        start = max(first_offset, action.from_offset)
        payloads = records[start : start + action.max_records]
        return RecordsRead(
            action.stream,
            ok=True,
            records=tuple(
                LogRecord(start + position, payload)
                for position, payload in enumerate(payloads)
            ),
            first_offset=first_offset,
            end_offset=len(records),
        )

    def expire(self, stream: str, before_offset: int) -> None:
        """Expire all records below an offset."""
        self.first_offsets[stream] = before_offset


class ChangeInForce(NamedTuple):
    """The time at which a change came into force at a member."""

    instance: str
    item: str
    version: int
    at_ms: int


class ConfigurationSimulation:
    """Simulates members, a network with loss and delays, and a log."""

    def __init__(
        self,
        seed: int = 1,
        settings: ConfigurationSettings | None = None,
        loss_share: float = 0.0,
        tick_ms: int = TICK_MS,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings or ConfigurationSettings()
        self.loss_share = loss_share
        self.tick_ms = tick_ms
        self.log = FakeLog()
        self.now_ms = 0
        self.addresses: dict[str, MemberAddress] = {}
        self.managers: dict[str, ConfigurationManager] = {}
        self.views: dict[str, MemberView] = {}
        self.applied: list[ChangeInForce] = []
        self.replies: dict[str, OperatorReply] = {}
        self.messages = 0
        self.reads = 0
        self.cut_from_log: set[str] = set()
        self.late_append_ms = 0
        self.log_latency_ms = LOG_LATENCY_MS
        self.cut_regions: set[str] = set()
        self.read_records = 0
        self.on_message: Callable[[str, SendPeer], None] | None = None
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, name: str, region: str = 'north', domain: str = 'north-1') -> None:
        """Start a member; it is in the views of all members at once."""
        incarnation = self.now_ms + 1
        address = MemberAddress(name, incarnation, region, domain, name, 1, 2)
        self.addresses[name] = address
        rng = random.Random(self.rng.random())
        manager = ConfigurationManager(self.settings, address, rng)
        self.managers[name] = manager
        self._update_views()
        self.after(rng.randrange(self.tick_ms), lambda: self._tick(name, manager))

    def stop(self, name: str) -> None:
        """Stop a member; it leaves the views of all members at once."""
        del self.addresses[name], self.managers[name]
        self._update_views()

    def after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, callback))

    def run(self, until_ms: int) -> None:
        """Advance the clock to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = until_ms

    def wait(self, duration_ms: int) -> None:
        """Advance the clock by a duration."""
        self.run(self.now_ms + duration_ms)

    def propose(self, name: str, item: str, base_version: int, document: Any) -> str:
        """Propose a change at a member and return the id of the command."""
        self._count += 1
        command_id = f'command-{self._count}'
        actions = self.managers[name].propose(
            command_id, 'asha', item, base_version, document, 'a test', self.now_ms
        )
        self.perform(name, actions)
        return command_id

    def perform(self, name: str, actions: list[Any]) -> None:
        """Execute the actions of a member."""
        manager = self.managers[name]
        for change in manager.take_changes():
            self.applied.append(
                ChangeInForce(name, change.item, change.to_version, self.now_ms)
            )
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(name, action)
            elif isinstance(action, ReadRecords):
                self._read(name, manager, action)
            elif isinstance(action, AppendRecord):
                self._append(name, manager, action)
            elif isinstance(action, OperatorReply):
                self.replies[action.command_id] = action

    def _update_views(self) -> None:
        alive = tuple(sorted(self.addresses.values()))
        by_instance = dict(self.addresses)
        self.views = {
            name: MemberView(address, alive, by_instance=by_instance)
            for name, address in self.addresses.items()
        }

    def _tick(self, name: str, manager: ConfigurationManager) -> None:
        if self.managers.get(name) is not manager:
            return
        self.perform(name, manager.tick(self.views[name], {}, self.now_ms))
        self.after(self.tick_ms, lambda: self._tick(name, manager))

    def _send(self, name: str, action: SendPeer) -> None:
        self.messages += 1
        if self.on_message is not None:
            self.on_message(name, action)
        if self.rng.random() < self.loss_share:
            return
        target = self.addresses.get(action.instance)
        if target is None:
            return
        region = self.addresses[name].region
        is_same_region = target.region == region
        if not is_same_region and self.cut_regions & {region, target.region}:
            return
        delay_ms = NEAR_LATENCY_MS if is_same_region else FAR_LATENCY_MS
        self.after(delay_ms, lambda: self._deliver(name, action))

    def _deliver(self, sender: str, action: SendPeer) -> None:
        manager = self.managers.get(action.instance)
        if manager is None:
            return
        view = self.views[action.instance]
        actions = manager.receive(sender, action.message, view, self.now_ms)
        self.perform(action.instance, actions)

    def _read(
        self, name: str, manager: ConfigurationManager, action: ReadRecords
    ) -> None:
        self.reads += 1
        if name in self.cut_from_log:
            read = RecordsRead(action.stream, ok=False)
        else:
            read = self.log.read(action)
        self.read_records += len(read.records)

        def respond() -> None:
            if self.managers.get(name) is manager:
                self.perform(name, manager.records_read(read, self.now_ms))

        self.after(self.log_latency_ms, respond)

    def _append(
        self, name: str, manager: ConfigurationManager, action: AppendRecord
    ) -> None:
        finished = AppendFinished(action.append_id, action.stream, 'unknown')
        if self.late_append_ms:
            self.after(self.late_append_ms, lambda: self._append_late(action))
        else:
            finished = self.log.append(action)

        def respond() -> None:
            if self.managers.get(name) is manager:
                self.perform(name, manager.append_finished(finished, self.now_ms))

        self.after(self.log_latency_ms, respond)

    def _append_late(self, action: AppendRecord) -> None:
        self.log.append(action)
