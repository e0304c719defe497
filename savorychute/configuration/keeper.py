"""Keep the configuration of one instance the newest there is."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.configuration.configuration_store import ConfigurationStore
from savorychute.configuration.keeper_status import KeeperStatus
from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings
from savorychute.configuration.log_follower import LogFollower
from savorychute.configuration.log_reader import CONFIGURATION_STREAM, LogReader
from savorychute.configuration.peer_exchange import PeerExchange
from savorychute.configuration.poller_duty import PollerDuty
from savorychute.configuration.proposal_desk import APPEND_PREFIX, reply
from savorychute.configuration.proposer import Proposer
from savorychute.configuration.snapshot_watch import SnapshotWatch
from savorychute.configuration.snapshot_writer import (
    SNAPSHOT_APPEND_PREFIX,
    SnapshotWriter,
)
from savorychute.configuration.spreader import Spreader
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

PEERS_TO_HEAR = 3
SHORTEST_TICK_MS = 20
"""Ticks in between return at once; a host under load ticks every millisecond."""


class ConfigurationKeeper:
    """Follows the log and other instances, and proposes operators' changes.

    :param settings: times and bounds.
    :param address: this instance.
    :param rng: spreads reads, notices and snapshots.
    :param budget: this instance's appends, shared with the other parts that
        append; None for one of its own.
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
        self._adopted = 0
        budget = budget or LogBudget(LogBudgetSettings())
        budget.set_phase(rng.random())
        self._budget = budget
        writer = f'{address.instance}.{address.incarnation}'
        self._store = ConfigurationStore(settings.ring_bytes)
        self._watch = SnapshotWatch(settings)
        self._reader = LogReader(settings, rng)
        self._duty = PollerDuty(settings.pollers_per_domain)
        self._follower = LogFollower(self._store, self._reader, self._watch)
        self._proposer = Proposer(
            settings, address, self._store, self._reader, budget, rng
        )
        self._writer = SnapshotWriter(settings, budget, writer, rng)
        self._spreader = Spreader(settings, self._store, self._watch, rng)
        self._exchange = PeerExchange(
            settings, self._store, self._watch, self._spreader
        )

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force."""
        return self._store.fold.state

    @property
    def ready(self) -> bool:
        """Whether this instance has had the newest that it could find."""
        return self._ready

    @property
    def advertised_offset(self) -> int:
        """What the membership's pings should tell: -1 until ready."""
        return self.state.offset if self._ready else -1

    def owner_of(self, token_hash: str) -> str | None:
        """Return the organisation whose contract has this token hash, or None.

        :param token_hash: hex SHA-256 of a bearer token.
        """
        return self._store.fold.pool.owner_of(token_hash)

    def take_changes(self) -> list[AppliedChange]:
        """Return the changes that came into force since the last call."""
        return self._store.take_changes()

    def history(self, item: str) -> list[Verdict]:
        """Return the remembered verdicts on an item, accepted or not.

        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        """
        return self._store.fold.verdicts.of_item(item)

    def rejected(self) -> list[Verdict]:
        """Return the remembered records that were rejected, with the reasons."""
        return self._store.fold.verdicts.rejected()

    def status(self, now_ms: int) -> KeeperStatus:
        """Return figures for operators."""
        return KeeperStatus(
            ready=self._ready,
            offset=self.state.offset,
            items=len(self.state.versions),
            log_is_down=self._reader.is_down(now_ms),
            log_is_behind=self._follower.log_is_behind,
            snapshot_offset=self._watch.offset,
            snapshot_age_ms=self._watch.age_ms(now_ms),
            snapshots_written=self._writer.written,
            rejected_records=self._store.rejected,
            repeated_records=self._store.repeated,
            states_adopted=self._store.adopted,
            divergences=self._spreader.divergences,
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
        """Propose a change; it ends in one ``OperatorReply``.

        :param command_id: the operator's command.
        :param operator: who proposes.
        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        :param base_version: the version that the operator saw, 0 for none.
        :param document: the new document, None to remove the item.
        :param why: the operator's reason.
        :param record_id: that of an earlier proposal, to ask for its fate or
            to propose it again without a second effect.
        """
        if not self._ready:
            answer = {'item': item, 'accepted': False, 'message': 'still starting'}
            return [reply(command_id, answer, ResultCode.NOT_READY)]
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
        """Return what is due: reads, notices, pulls, snapshots, late answers.

        :param view: the members.
        :param peer_offsets: offsets that came with the membership's pings.
        """
        self._view = view
        self._budget.set_members(len(view.alive))
        if self._started_ms is None:
            self._started_ms = now_ms
            self._watch.start(now_ms)
            self._ticked_ms = now_ms - SHORTEST_TICK_MS
        if now_ms - self._ticked_ms < SHORTEST_TICK_MS:
            return []
        self._ticked_ms = now_ms
        actions: list[Action] = []
        if not self._exchange.is_fetching:
            actions += self._spreader.tick(view, peer_offsets, self._ready, now_ms)
        actions += self._exchange.tick(view, now_ms)
        polls = self._duty.has_duty(view)
        actions += self._read_log(view, polls, now_ms)
        if polls and self._ready:
            actions += self._write_snapshot(now_ms)
        actions += self._settle(now_ms)
        self._check_ready(view, peer_offsets, now_ms)
        return actions

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        now_ms: int,
    ) -> list[Action]:
        """Take in a message of another instance.

        :param sender: its name.
        :param message: one of this package's peer messages.
        :param view: the members.
        """
        self._view = view
        actions: list[Action] = [
            *self._exchange.receive(sender, message, view, self._ready, now_ms)
        ]
        return actions + self._settle(now_ms)

    def records_read(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Take in an answer of the log.

        :param read: the answer; those of other streams are left alone.
        """
        if read.stream != CONFIGURATION_STREAM:
            return []
        self._follower.records_read(read, now_ms)
        self._ready = self._ready or self._follower.end_reached
        return self._settle(now_ms)

    def append_finished(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Take in the outcome of an append.

        :param finished: the outcome; those of other parts are left alone.
        """
        if finished.append_id.startswith(SNAPSHOT_APPEND_PREFIX):
            self._writer.append_finished(finished)
            return []
        if finished.append_id.startswith(APPEND_PREFIX):
            return [*self._proposer.append_finished(finished, now_ms)]
        return []

    def _settle(self, now_ms: int) -> list[Action]:
        """Answer operators, note snapshots and push news after a fold."""
        actions: list[Action] = []
        for step in self._store.take_steps():
            if step.verdict is not None:
                actions += self._proposer.decide(step.verdict)
            if step.snapshot is not None:
                self._watch.note_part(
                    step.snapshot, step.offset, now_ms, fresh=self._ready
                )
        if self._adopted != self._store.adopted:
            self._adopted = self._store.adopted
            actions += self._proposer.adopted()
        actions += self._proposer.expire(now_ms)
        if self._view is not None:
            actions += self._spreader.push_news(self._view, self._ready, now_ms)
        return actions

    def _read_log(self, view: MemberView, polls: bool, now_ms: int) -> list[Action]:
        if self._waits_for_peers(view, polls, now_ms):
            return []
        interval_ms = self._settings.idle_poll_interval_ms
        if polls or self._proposer.is_waiting:
            interval_ms = self._settings.poll_interval_ms
        elif not self._ready:
            interval_ms = self._settings.join_poll_interval_ms
        return [*self._reader.tick(self._follower.next_offset, interval_ms, now_ms)]

    def _waits_for_peers(self, view: MemberView, polls: bool, now_ms: int) -> bool:
        """Return whether a starting instance leaves the log to others.

        When everything starts at once, the pollers read the log and the others
        take the state from them; otherwise all would read all of it.
        """
        if self._ready or self._started_ms is None:
            return False
        waited_ms = now_ms - self._started_ms
        if len(view.alive) < 2:
            return waited_ms < self._settings.listing_wait_ms
        return not polls and waited_ms < self._settings.join_wait_ms

    def _check_ready(
        self, view: MemberView, gossiped: Mapping[str, int], now_ms: int
    ) -> None:
        """Become ready once the newest that peers know is in force here.

        This is the way in when the log does not answer.  A single peer may be
        behind, so a few are heard, or as many as there are.
        """
        if self._ready or self._started_ms is None or self.state.offset < 0:
            return
        offsets = self._spreader.offsets
        heard = offsets.count()
        waited_ms = now_ms - self._started_ms
        is_patient = waited_ms >= self._settings.join_wait_ms
        enough = min(PEERS_TO_HEAR, len(view.alive) - 1)
        if heard == 0 or (heard < enough and not is_patient):
            return
        self._ready = self.state.offset >= offsets.newest(gossiped)

    def _write_snapshot(self, now_ms: int) -> list[Action]:
        first_kept = self._reader.first_offset
        due = self._watch.is_due(self.state.offset, first_kept, now_ms)
        return [
            *self._writer.tick(
                self._store.fold,
                due,
                self._watch.is_urgent(first_kept),
                self._watch.begun_ms,
                self._reader.is_down(now_ms),
                now_ms,
            )
        ]
