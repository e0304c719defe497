"""Answer other instances, and take in what they send."""

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
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.snapshot_watch import SnapshotWatch
    from savorychute.configuration.spreader import Spreader
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

FETCH_STALLED_TIMEOUTS = 6


class PeerExchange:
    """The receiving side of the spread, and the transfer of the whole state.

    :param settings: timeouts and sizes.
    :param store: what this instance has.
    :param watch: the age of the newest snapshot.
    :param spreader: the sending side.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        store: ConfigurationStore,
        watch: SnapshotWatch,
        spreader: Spreader,
    ) -> None:
        self._settings = settings
        self._store = store
        self._watch = watch
        self._spreader = spreader
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
        """Take in a message.

        :param sender: the instance that sent it.
        :param message: one of this package's peer messages.
        :param view: the members; a sender that is none gets no answer.
        :param ready: whether this instance has finished starting.
        """
        peer = view.address_of(sender)
        if peer is None:
            return []
        if isinstance(message, OffsetNotice):
            return self._take_notice(peer, message, view, ready, now_ms)
        if isinstance(message, RecordsPush):
            return self._take_records(peer, message, view, now_ms)
        if isinstance(message, StatePart):
            return self._take_part(peer, message, view, now_ms)
        if not ready:
            return []
        if isinstance(message, RecordsRequest):
            return self._send_records(peer, message, now_ms)
        if isinstance(message, StateRequest):
            return self._send_part(peer, message, now_ms)
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Ask again for parts of the state that did not arrive."""
        self._server.tick(now_ms)
        fetch = self._fetch
        if fetch is None:
            return []
        stalled_ms = FETCH_STALLED_TIMEOUTS * self._settings.pull_timeout_ms
        peer = view.address_of(fetch.source)
        if peer is None or now_ms - fetch.progress_ms >= stalled_ms:
            self._spreader.offsets.forget(fetch.source)
            self._fetch = None
            return []
        return [send_to(peer, request) for request in fetch.requests(now_ms)]

    @property
    def is_fetching(self) -> bool:
        """Whether the whole state is on its way here."""
        return self._fetch is not None

    def _take_notice(
        self,
        peer: MemberAddress,
        notice: OffsetNotice,
        view: MemberView,
        ready: bool,
        now_ms: int,
    ) -> list[SendPeer]:
        own_offset = self._store.offset
        if notice.offset >= 0:
            self._spreader.offsets.hear(peer.instance, notice.offset)
            self._watch.hear(notice.snapshot_offset, notice.snapshot_age_ms, now_ms)
            self._spreader.compare(notice)
        if notice.offset > own_offset and not self.is_fetching:
            return self._spreader.pull(view, {}, now_ms)
        if notice.offset >= own_offset or not ready:
            return []
        if notice.offset >= 0 and self._store.ring.covers(notice.offset):
            return self._send_records(peer, RecordsRequest(notice.offset), now_ms)
        return [send_to(peer, self._spreader.notice(ready, now_ms))]

    def _take_records(
        self, peer: MemberAddress, push: RecordsPush, view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        self._spreader.answered(peer.instance)
        self._spreader.offsets.hear(peer.instance, push.newest_offset)
        for record in push.records:
            self._store.apply(LogRecord(record.offset, record.payload))
        if push.newest_offset <= self._store.offset or self.is_fetching:
            return []
        return self._spreader.pull(view, {}, now_ms)

    def _send_records(
        self, peer: MemberAddress, request: RecordsRequest, now_ms: int
    ) -> list[SendPeer]:
        own_offset = self._store.offset
        ring = self._store.ring
        is_behind = request.after_offset < own_offset
        if is_behind and not ring.covers(request.after_offset):
            return self._send_part(peer, StateRequest(own_offset, 0), now_ms)
        records = ring.take_after(request.after_offset, self._settings.pull_bytes)
        return [send_to(peer, RecordsPush(tuple(records), own_offset))]

    def _send_part(
        self, peer: MemberAddress, request: StateRequest, now_ms: int
    ) -> list[SendPeer]:
        """Send the part that was asked for, or the first of a newer state."""
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
            snapshot_offset=self._watch.offset,
            snapshot_age_ms=self._watch.age_ms(now_ms),
        )
        return [send_to(peer, part)]

    def _take_part(
        self, peer: MemberAddress, part: StatePart, view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        self._spreader.answered(peer.instance)
        if part.offset <= self._store.offset or not StateFetch.is_sane(part):
            return []
        fetch = self._fetch
        if fetch is None or self._is_newer_of_same(fetch, peer, part):
            timeout_ms = self._settings.pull_timeout_ms
            fetch = self._fetch = StateFetch(peer.instance, part, timeout_ms)
        if not fetch.take(peer.instance, part, now_ms):
            return []
        if not fetch.is_complete:
            return [send_to(peer, request) for request in fetch.requests(now_ms)]
        self._fetch = None
        if self._store.adopt(fetch.data(), fetch.offset):
            self._watch.hear(part.snapshot_offset, part.snapshot_age_ms, now_ms)
        else:
            self._spreader.offsets.forget(peer.instance)
        return self._spreader.pull(view, {}, now_ms)

    @staticmethod
    def _is_newer_of_same(
        fetch: StateFetch, peer: MemberAddress, part: StatePart
    ) -> bool:
        return fetch.source == peer.instance and part.offset > fetch.offset
