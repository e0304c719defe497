"""Probing of members within a region."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.membership.member_state import MemberState
from savorychute.membership.ping_request import PingRequest
from savorychute.membership.relayed_ack import RelayedAck

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress
    from savorychute.membership.ack import Ack
    from savorychute.membership.member_table import MemberTable
    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.ping import Ping
    from savorychute.membership.settings import MembershipSettings

    MakePing = Callable[[int, MemberAddress, int], Ping]

# Sequence number of pings whose acknowledgement shows that the member is alive but
# does not complete a probe.
UNTRACKED_SEQUENCE = 0


class Probe(NamedTuple):
    """A probe that awaits its acknowledgement."""

    sequence: int
    target: MemberAddress
    sent_ms: int
    indirect: bool = False


class Relay(NamedTuple):
    """A probe sent on behalf of another member."""

    origin: MemberAddress
    origin_sequence: int
    sent_ms: int


class Prober:
    """Probes the members of the region in turn and suspects unresponsive ones.

    Members are probed in shuffled rounds, each member once in a round.  Detection
    time therefore has an upper bound, not only an expected value.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, rng: Random
    ) -> None:
        self._settings = settings
        self._table = table
        self._rng = rng
        self._sequence = UNTRACKED_SEQUENCE
        self._round: list[str] = []
        self._scheduled: set[str] = set()
        self._seen_version = -1
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}
        self._next_probe_ms = 0
        self._state_updates: list[MemberUpdate] = []
        self._challenged_ms: dict[str, int] = {}
        self._new_suspicion: MemberUpdate | None = None

    def tick(
        self, own: MemberAddress, make_ping: MakePing, now_ms: int
    ) -> list[Action]:
        """Probe the next member, or ask other members to probe it.

        :param own: this instance.
        :param make_ping: builds a ping with the updates to piggyback.
        """
        actions: list[Action] = []
        if now_ms >= self._next_probe_ms:
            self._evaluate_probe()
            self._next_probe_ms = now_ms + self._settings.probe_period_ms
            actions.extend(self._start_probe(own, make_ping, now_ms))
        elif self._is_overdue(now_ms):
            actions.extend(self._send_ping_requests(own, make_ping, now_ms))
        actions.extend(self._challenge_suspects(make_ping, now_ms))
        self._expire_relays(now_ms)
        return actions

    def pop_state_updates(self, now_ms: int) -> list[MemberUpdate]:
        """Return new suspicions, and deaths of suspects that did not refute in time."""
        updates = self._state_updates
        self._state_updates = []
        cutoff_ms = now_ms - self._settings.suspicion_ms
        for record in self._table.in_state(MemberState.SUSPECT):
            if record.since_ms <= cutoff_ms:
                updates.append(record.update._replace(state=int(MemberState.DEAD)))
        return updates

    def handle_ack(self, ack: Ack) -> list[Action]:
        """Complete the acknowledged probe, or relay the acknowledgement.

        :param ack: the acknowledgement.
        """
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            self.record_ack(ack.origin.address.instance, ack.sequence)
            return []
        message = RelayedAck(relay.origin_sequence, ack.origin)
        origin = relay.origin
        return [SendPeer(origin.instance, origin.host, origin.peer_port, message)]

    def record_ack(self, instance: str, sequence: int) -> None:
        """Complete the probe with this member and sequence number.

        :param instance: the member that acknowledged it.
        :param sequence: the sequence number of the probe.
        """
        probe = self._probe
        if probe is None or probe.sequence != sequence:
            return
        if probe.target.instance == instance:
            self._probe = None

    def relay(
        self, request: PingRequest, make_ping: MakePing, now_ms: int
    ) -> list[Action]:
        """Probe a member on behalf of another one.

        :param request: the member to probe, and the requester.
        :param make_ping: builds a ping with the updates to piggyback.
        """
        self._sequence += 1
        self._relays[self._sequence] = Relay(
            request.origin.address, request.sequence, now_ms
        )
        return [self._build_ping_action(request.target, make_ping, now_ms)]

    def extend_waits(self, gap_ms: int) -> None:
        """Extend the wait for an acknowledgement after a pause of this instance.

        :param gap_ms: how long this instance was paused.
        """
        if self._probe is not None:
            sent_ms = self._probe.sent_ms + gap_ms
            self._probe = self._probe._replace(sent_ms=sent_ms)
            self._next_probe_ms += gap_ms

    def _evaluate_probe(self) -> None:
        probe = self._probe
        self._probe = None
        if probe is None:
            return
        record = self._table.get(probe.target.instance)
        if record is None or record.update.address != probe.target:
            return
        if record.update.state < MemberState.SUSPECT:
            suspicion = record.update._replace(state=int(MemberState.SUSPECT))
            self._state_updates.append(suspicion)
            self._new_suspicion = suspicion

    def _start_probe(
        self, own: MemberAddress, make_ping: MakePing, now_ms: int
    ) -> list[Action]:
        target = self._next_target(own)
        if target is None:
            return []
        self._sequence += 1
        self._probe = Probe(self._sequence, target, now_ms)
        return [self._build_ping_action(target, make_ping, now_ms)]

    def _next_target(self, own: MemberAddress) -> MemberAddress | None:
        self._schedule_new_members(own)
        for _ in range(2):
            while self._round:
                record = self._table.get(self._round.pop())
                if record is not None and record.state != MemberState.DEAD:
                    return record.update.address
            self._scheduled.clear()
            self._seen_version = -1
            self._schedule_new_members(own)
        return None

    def _schedule_new_members(self, own: MemberAddress) -> None:
        """Insert new members into the current round at random positions.

        If they waited for the next round, members that were all replaced at the
        same time would stay unprobed for as many seconds as there are members.
        """
        if self._seen_version == self._table.version:
            return
        self._seen_version = self._table.version
        for record in self._table.in_region(own.region):
            instance = record.update.address.instance
            if record.state != MemberState.DEAD and instance not in self._scheduled:
                self._scheduled.add(instance)
                self._round.insert(self._rng.randint(0, len(self._round)), instance)

    def _challenge_suspects(self, make_ping: MakePing, now_ms: int) -> list[Action]:
        """Ping new suspects of this instance at once, and all suspects near expiry.

        This guards against two failures: a suspect receives the suspicion late, is
        then paused and is declared dead; or a member misses the refutation because
        messages were lost and declares a live member dead.  The ping carries the
        suspicion, so the acknowledgement carries the refutation.
        """
        actions: list[Action] = []
        challenged_ms = {}
        cutoff_ms = now_ms - self._settings.suspicion_ms + self._settings.challenge_ms
        for record in self._table.in_state(MemberState.SUSPECT):
            update = record.update
            instance = update.address.instance
            last_challenge_ms = self._challenged_ms.get(instance)
            is_near_expiry = record.since_ms <= cutoff_ms
            is_recently_pinged = last_challenge_ms is not None and (
                now_ms - last_challenge_ms < self._settings.probe_timeout_ms
            )
            is_new = update == self._new_suspicion
            if is_new:
                self._new_suspicion = None
            if is_new or (is_near_expiry and not is_recently_pinged):
                actions.append(self._challenge(update.address, make_ping, now_ms))
                challenged_ms[instance] = now_ms
            elif last_challenge_ms is not None:
                challenged_ms[instance] = last_challenge_ms
        self._challenged_ms = challenged_ms
        return actions

    def _challenge(
        self, target: MemberAddress, make_ping: MakePing, now_ms: int
    ) -> SendPeer:
        ping = make_ping(UNTRACKED_SEQUENCE, target, now_ms)
        return SendPeer(target.instance, target.host, target.peer_port, ping)

    def _is_overdue(self, now_ms: int) -> bool:
        probe = self._probe
        if probe is None or probe.indirect:
            return False
        return now_ms - probe.sent_ms >= self._settings.probe_timeout_ms

    def _send_ping_requests(
        self, own: MemberAddress, make_ping: MakePing, now_ms: int
    ) -> list[Action]:
        probe = self._probe
        if probe is None:
            return []
        self._probe = probe._replace(indirect=True)
        helpers = [
            record.update.address
            for record in self._table.in_region(own.region)
            if record.update.state < MemberState.SUSPECT
            and record.update.address != probe.target
        ]
        count = min(self._settings.indirect_probes, len(helpers))
        origin = make_ping(UNTRACKED_SEQUENCE, probe.target, now_ms).origin
        request = PingRequest(probe.sequence, origin, probe.target)
        return [
            SendPeer(helper.instance, helper.host, helper.peer_port, request)
            for helper in self._rng.sample(helpers, count)
        ]

    def _build_ping_action(
        self, target: MemberAddress, make_ping: MakePing, now_ms: int
    ) -> SendPeer:
        ping = make_ping(self._sequence, target, now_ms)
        return SendPeer(target.instance, target.host, target.peer_port, ping)

    def _expire_relays(self, now_ms: int) -> None:
        cutoff_ms = now_ms - self._settings.probe_period_ms
        expired = [s for s, relay in self._relays.items() if relay.sent_ms <= cutoff_ms]
        for sequence in expired:
            del self._relays[sequence]
