"""Handling of messages from other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.offset_notice import OffsetNotice
from savorychute.configuration.peer_choice import send_to
from savorychute.configuration.records_push import RecordsPush
from savorychute.configuration.records_request import RecordsRequest
from savorychute.configuration.state_fetch import StateFetch
from savorychute.configuration.state_part import StatePart
from savorychute.configuration.state_request import StateRequest
from savorychute.configuration.state_server import StateServer
from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from savorychute.actions.send_peer import SendPeer
    from savorychute.configuration.broadcaster import Broadcaster
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.snapshot_monitor import SnapshotMonitor
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

STALLED_FETCH_TIMEOUTS = 6


class PeerExchange:
    """Receives the messages of other instances, and transfers whole states.

    :param settings: timeouts and sizes.
    :param store: the configuration that this instance holds.
    :param snapshot_monitor: tracks the age of the newest snapshot.
    :param broadcaster: sends notices and pulls to other instances.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        store: ConfigurationStore,
        snapshot_monitor: SnapshotMonitor,
        broadcaster: Broadcaster,
    ) -> None:
        self._settings = settings
        self._store = store
        self._snapshot_monitor = snapshot_monitor
        self._broadcaster = broadcaster
        self._server = StateServer(settings.part_bytes)
        self._fetch: StateFetch | None = None

    def receive(
        self,
        sender: str,
        message: tuple[object, ...],
        view: MemberView,
        ready: bool,
        now_ms: int,
    ) -> list[SendPeer]:
        """Handle a message.

        :param sender: the instance that sent the message.
        :param message: one of this package's peer messages.
        :param view: the current members; messages of other senders are ignored.
        :param ready: whether this instance has finished starting.
        """
        peer = view.address_of(sender)
        if peer is None:
            return []
        if isinstance(message, OffsetNotice):
            return self._handle_notice(peer, message, view, ready, now_ms)
        if isinstance(message, RecordsPush):
            return self._handle_records(peer, message, view, now_ms)
        if isinstance(message, StatePart):
            return self._handle_part(peer, message, view, now_ms)
        if not ready:
            return []
        if isinstance(message, RecordsRequest):
            return self._send_records(peer, message, now_ms)
        if isinstance(message, StateRequest):
            return self._send_part(peer, message, now_ms)
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Request missing parts of the state again, or abandon a stalled fetch."""
        self._server.tick(now_ms)
        fetch = self._fetch
        if fetch is None:
            return []
        stalled_ms = STALLED_FETCH_TIMEOUTS * self._settings.pull_timeout_ms
        peer = view.address_of(fetch.source)
        if peer is None or now_ms - fetch.progress_ms >= stalled_ms:
            self._broadcaster.offsets.discard(fetch.source)
            self._fetch = None
            return []
        return [send_to(peer, request) for request in fetch.requests(now_ms)]

    @property
    def is_fetching(self) -> bool:
        """Whether a transfer of the whole state to this instance is in progress."""
        return self._fetch is not None

    def _handle_notice(
        self,
        peer: MemberAddress,
        notice: OffsetNotice,
        view: MemberView,
        ready: bool,
        now_ms: int,
    ) -> list[SendPeer]:
        own_offset = self._store.offset
        if notice.offset >= 0:
            self._broadcaster.offsets.record_reported(peer.instance, notice.offset)
            self._snapshot_monitor.record_reported(
                notice.snapshot_offset, notice.snapshot_age_ms, now_ms
            )
            self._broadcaster.check_divergence(notice)
        if notice.offset > own_offset and not self.is_fetching:
            return self._broadcaster.pull(view, {}, now_ms)
        if notice.offset >= own_offset or not ready:
            return []
        if notice.offset >= 0 and self._store.ring.covers(notice.offset):
            return self._send_records(peer, RecordsRequest(notice.offset), now_ms)
        return [send_to(peer, self._broadcaster.notice(ready, now_ms))]

    def _handle_records(
        self, peer: MemberAddress, push: RecordsPush, view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        self._broadcaster.record_response(peer.instance)
        self._broadcaster.offsets.record_reported(peer.instance, push.newest_offset)
        for record in push.records:
            self._store.apply(LogRecord(record.offset, record.payload))
        if push.newest_offset <= self._store.offset or self.is_fetching:
            return []
        return self._broadcaster.pull(view, {}, now_ms)

    def _send_records(
        self, peer: MemberAddress, request: RecordsRequest, now_ms: int
    ) -> list[SendPeer]:
        own_offset = self._store.offset
        ring = self._store.ring
        is_behind = request.after_offset < own_offset
        if is_behind and not ring.covers(request.after_offset):
            return self._send_part(peer, StateRequest(own_offset, 0), now_ms)
        records = ring.read_after(request.after_offset, self._settings.pull_bytes)
        return [send_to(peer, RecordsPush(tuple(records), own_offset))]

    def _send_part(
        self, peer: MemberAddress, request: StateRequest, now_ms: int
    ) -> list[SendPeer]:
        """Send the requested part, or the first part of a newer state."""
        self._server.prepare(self._store.fold, self._store.ring, now_ms)
        number = request.part if request.offset == self._server.offset else 0
        data = self._server.part(number)
        if data is None:
            return []
        part = StatePart(
            offset=self._server.offset,
            part=number,
            parts=self._server.parts,
            data=data,
            snapshot_offset=self._snapshot_monitor.offset,
            snapshot_age_ms=self._snapshot_monitor.age_ms(now_ms),
        )
        return [send_to(peer, part)]

    def _handle_part(
        self, peer: MemberAddress, part: StatePart, view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        self._broadcaster.record_response(peer.instance)
        if part.offset <= self._store.offset or not StateFetch.is_valid(part):
            return []
        fetch = self._fetch
        if fetch is None or self._is_newer_from_same_source(fetch, peer, part):
            timeout_ms = self._settings.pull_timeout_ms
            fetch = self._fetch = StateFetch(peer.instance, part, timeout_ms)
        if not fetch.add_part(peer.instance, part, now_ms):
            return []
        if not fetch.is_complete:
            return [send_to(peer, request) for request in fetch.requests(now_ms)]
        self._fetch = None
        if self._store.adopt(fetch.data(), fetch.offset):
            self._snapshot_monitor.record_reported(
                part.snapshot_offset, part.snapshot_age_ms, now_ms
            )
        else:
            self._broadcaster.offsets.discard(peer.instance)
        return self._broadcaster.pull(view, {}, now_ms)

    @staticmethod
    def _is_newer_from_same_source(
        fetch: StateFetch, peer: MemberAddress, part: StatePart
    ) -> bool:
        return fetch.source == peer.instance and part.offset > fetch.offset
