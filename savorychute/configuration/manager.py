"""Keep the configuration of one instance up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.configuration.broadcaster import Broadcaster
from savorychute.configuration.configuration_store import ConfigurationStore
from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings
from savorychute.configuration.log_follower import LogFollower
from savorychute.configuration.log_reader import CONFIGURATION_STREAM, LogReader
from savorychute.configuration.manager_status import ManagerStatus
from savorychute.configuration.peer_exchange import PeerExchange
from savorychute.configuration.poller_selection import PollerSelection
from savorychute.configuration.proposal_handler import APPEND_PREFIX, make_reply
from savorychute.configuration.proposer import Proposer
from savorychute.configuration.snapshot_monitor import SnapshotMonitor
from savorychute.configuration.snapshot_writer import (
    SNAPSHOT_APPEND_PREFIX,
    SnapshotWriter,
)
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.actions import Action
    from savorychute.configuration.applied_change import AppliedChange
    from savorychute.configuration.configuration_state import ConfigurationState
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.verdict import Verdict
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.inputs.records_read import RecordsRead
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

MIN_REPORTING_PEERS = 3
MIN_TICK_INTERVAL_MS = 20
"""Earlier ticks return at once, because a host under load ticks every millisecond."""


class ConfigurationManager:
    """Follows the log and other instances, and proposes operators' changes.

    :param settings: times and limits.
    :param address: the address of this instance.
    :param rng: randomises the times of reads, notices and snapshots.
    :param budget: the append budget of this instance, shared with the other parts
        that append; None to create a separate one.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        address: MemberAddress,
        rng: random.Random,
        budget: LogBudget | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._started_ms: int | None = None
        self._view: MemberView | None = None
        self._ticked_ms = 0
        self._ready = False
        self._adopted_count = 0
        budget = budget or LogBudget(LogBudgetSettings())
        budget.set_phase(rng.random())
        self._budget = budget
        writer_id = f'{address.instance}.{address.incarnation}'
        self._store = ConfigurationStore(settings.ring_bytes)
        self._snapshot_monitor = SnapshotMonitor(settings)
        self._reader = LogReader(settings, rng)
        self._poller_selection = PollerSelection(settings.pollers_per_domain)
        self._follower = LogFollower(self._store, self._reader, self._snapshot_monitor)
        self._proposer = Proposer(
            settings, address, self._store, self._reader, budget, rng
        )
        self._snapshot_writer = SnapshotWriter(settings, budget, writer_id, rng)
        self._broadcaster = Broadcaster(
            settings, self._store, self._snapshot_monitor, rng
        )
        self._exchange = PeerExchange(
            settings, self._store, self._snapshot_monitor, self._broadcaster
        )

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force."""
        return self._store.fold.state

    @property
    def ready(self) -> bool:
        """Whether this instance reached the newest configuration that it could find."""
        return self._ready

    @property
    def advertised_offset(self) -> int:
        """The offset to announce in membership pings, -1 until ready."""
        return self.state.offset if self._ready else -1

    def owner_of(self, token_hash: str) -> str | None:
        """Return the organisation whose contract has this token hash, or None.

        :param token_hash: hex SHA-256 of a bearer token.
        """
        return self._store.fold.pool.owner_of(token_hash)

    def take_changes(self) -> list[AppliedChange]:
        """Return and clear the changes that came into force since the last call."""
        return self._store.take_changes()

    def history(self, item: str) -> list[Verdict]:
        """Return the remembered verdicts on an item, accepted or not.

        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        """
        return self._store.fold.verdicts.for_item(item)

    def rejected(self) -> list[Verdict]:
        """Return the remembered verdicts on rejected records, with the reasons."""
        return self._store.fold.verdicts.rejected()

    def status(self, now_ms: int) -> ManagerStatus:
        """Return status figures for operators."""
        return ManagerStatus(
            ready=self._ready,
            offset=self.state.offset,
            items=len(self.state.versions),
            log_is_down=self._reader.is_down(now_ms),
            log_is_behind=self._follower.log_is_behind,
            snapshot_offset=self._snapshot_monitor.offset,
            snapshot_age_ms=self._snapshot_monitor.age_ms(now_ms),
            snapshots_written=self._snapshot_writer.written,
            rejected_records=self._store.rejected_count,
            repeated_records=self._store.repeated_count,
            states_adopted=self._store.adopted_count,
            divergences=self._broadcaster.divergences,
        )

    def propose(
        self,
        command_id: str,
        operator: str,
        item: str,
        base_version: int,
        document: dict[str, Any] | None,
        why: str,
        now_ms: int,
        record_id: str = '',
    ) -> list[Action]:
        """Propose a change, which results in exactly one ``OperatorReply``.

        :param command_id: the id of the operator's command.
        :param operator: the name of the operator.
        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        :param base_version: the version that the operator saw, 0 for none.
        :param document: the new document, None to remove the item.
        :param why: the operator's reason.
        :param record_id: the record id of an earlier proposal, to query its result
            or to propose it again idempotently.
        """
        if not self._ready:
            reply_document = {
                'item': item,
                'accepted': False,
                'message': 'still starting',
            }
            return [make_reply(command_id, reply_document, ResultCode.NOT_READY)]
        return [
            *self._proposer.propose(
                command_id,
                operator,
                item,
                base_version,
                document,
                why,
                now_ms,
                record_id,
            )
        ]

    def tick(
        self, view: MemberView, peer_offsets: Mapping[str, int], now_ms: int
    ) -> list[Action]:
        """Return due actions: reads, notices, pulls, snapshots and timed-out replies.

        :param view: the current members.
        :param peer_offsets: offsets by instance, from membership pings.
        """
        self._view = view
        self._budget.set_members(len(view.alive))
        if self._started_ms is None:
            self._started_ms = now_ms
            self._snapshot_monitor.start(now_ms)
            self._ticked_ms = now_ms - MIN_TICK_INTERVAL_MS
        if now_ms - self._ticked_ms < MIN_TICK_INTERVAL_MS:
            return []
        self._ticked_ms = now_ms
        actions: list[Action] = []
        if not self._exchange.is_fetching:
            actions += self._broadcaster.tick(view, peer_offsets, self._ready, now_ms)
        actions += self._exchange.tick(view, now_ms)
        is_poller = self._poller_selection.is_poller(view)
        actions += self._read_log(view, is_poller, now_ms)
        if is_poller and self._ready:
            actions += self._write_snapshot(now_ms)
        actions += self._process_steps(now_ms)
        self._check_ready(view, peer_offsets, now_ms)
        return actions

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        now_ms: int,
    ) -> list[Action]:
        """Handle a message from another instance.

        :param sender: the name of the instance that sent it.
        :param message: one of this package's peer messages.
        :param view: the current members.
        """
        self._view = view
        actions: list[Action] = [
            *self._exchange.receive(sender, message, view, self._ready, now_ms)
        ]
        return actions + self._process_steps(now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Handle a response of the log to a read.

        :param read: the response; responses for other streams are ignored.
        """
        if read.stream != CONFIGURATION_STREAM:
            return []
        self._follower.records_read(read, now_ms)
        self._ready = self._ready or self._follower.end_reached
        return self._process_steps(now_ms)

    def append_finished(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Handle the outcome of an append.

        :param finished: the outcome; outcomes for other parts are ignored.
        """
        if finished.append_id.startswith(SNAPSHOT_APPEND_PREFIX):
            self._snapshot_writer.append_finished(finished)
            return []
        if finished.append_id.startswith(APPEND_PREFIX):
            return [*self._proposer.append_finished(finished, now_ms)]
        return []

    def _process_steps(self, now_ms: int) -> list[Action]:
        """Reply to operators, record snapshots and push updates after a fold."""
        actions: list[Action] = []
        for step in self._store.take_steps():
            if step.verdict is not None:
                actions += self._proposer.apply_verdict(step.verdict)
            if step.snapshot is not None:
                self._snapshot_monitor.record_part(
                    step.snapshot, step.offset, now_ms, fresh=self._ready
                )
        if self._adopted_count != self._store.adopted_count:
            self._adopted_count = self._store.adopted_count
            actions += self._proposer.apply_adopted_verdicts()
        actions += self._proposer.expire(now_ms)
        if self._view is not None:
            actions += self._broadcaster.push_updates(self._view, self._ready, now_ms)
        return actions

    def _read_log(self, view: MemberView, is_poller: bool, now_ms: int) -> list[Action]:
        if self._waits_for_peers(view, is_poller, now_ms):
            return []
        interval_ms = self._settings.idle_poll_interval_ms
        if is_poller or self._proposer.is_waiting:
            interval_ms = self._settings.poll_interval_ms
        elif not self._ready:
            interval_ms = self._settings.join_poll_interval_ms
        return [*self._reader.tick(self._follower.next_offset, interval_ms, now_ms)]

    def _waits_for_peers(self, view: MemberView, is_poller: bool, now_ms: int) -> bool:
        """Return whether a starting instance waits for peers before it reads the log.

        When all instances start at once, the pollers read the log and the others
        fetch the state from them; otherwise each instance would read the whole log.
        """
        if self._ready or self._started_ms is None:
            return False
        waited_ms = now_ms - self._started_ms
        if len(view.alive) < 2:
            return waited_ms < self._settings.listing_wait_ms
        return not is_poller and waited_ms < self._settings.join_wait_ms

    def _check_ready(
        self, view: MemberView, gossiped: Mapping[str, int], now_ms: int
    ) -> None:
        """Become ready once the newest offset that peers reported is in force here.

        This lets an instance start while the log is unavailable.  A single peer may
        be behind, so reports of several peers are required, or of all peers if there
        are fewer.
        """
        if self._ready or self._started_ms is None or self.state.offset < 0:
            return
        offsets = self._broadcaster.offsets
        reporting_peers = offsets.count()
        waited_ms = now_ms - self._started_ms
        join_wait_elapsed = waited_ms >= self._settings.join_wait_ms
        required_peers = min(MIN_REPORTING_PEERS, len(view.alive) - 1)
        if reporting_peers == 0 or (
            reporting_peers < required_peers and not join_wait_elapsed
        ):
            return
        self._ready = self.state.offset >= offsets.newest(gossiped)

    def _write_snapshot(self, now_ms: int) -> list[Action]:
        first_retained_offset = self._reader.first_offset
        due = self._snapshot_monitor.is_due(
            self.state.offset, first_retained_offset, now_ms
        )
        return [
            *self._snapshot_writer.tick(
                self._store.fold,
                due,
                self._snapshot_monitor.is_urgent(first_retained_offset),
                self._snapshot_monitor.last_part_ms,
                self._reader.is_down(now_ms),
                now_ms,
            )
        ]
