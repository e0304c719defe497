"""Push updates to other instances, and pull missing records from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.offset_notice import OffsetNotice
from savorychute.configuration.peer_choice import choose_peers, send_to
from savorychute.configuration.peer_offsets import PeerOffsets
from savorychute.configuration.records_push import RecordsPush
from savorychute.configuration.records_request import RecordsRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from savorychute.actions.send_peer import SendPeer
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.snapshot_monitor import SnapshotMonitor
    from savorychute.membership.member_view import MemberView

MAX_PUSHED_RECORDS = 8
NOTICES_AFTER_CHANGE = 2
PULL_CHECK_INTERVAL_MS = 100
"""How often the offsets in membership pings are checked."""


class Broadcaster:
    """Rumour mongering with anti-entropy.

    Demers et al., "Epidemic Algorithms for Replicated Database Maintenance"
    (1987).  An instance that receives new records pushes them once to a few members,
    which reaches nearly all members within a few hops.  Regular notices to one
    member at a time reach the rest, as do the offsets in membership pings.

    :param settings: intervals and limits.
    :param store: the configuration that this instance holds.
    :param snapshot_monitor: tracks the age of the newest snapshot.
    :param rng: chooses members and randomises the times of notices.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        store: ConfigurationStore,
        snapshot_monitor: SnapshotMonitor,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._snapshot_monitor = snapshot_monitor
        self._rng = rng
        self.offsets = PeerOffsets()
        self.divergences = 0
        self._started_ms: int | None = None
        self._notice_due_ms = 0
        self._pull_check_due_ms = 0
        self._recent_change_until_ms = 0
        self._pushed_offset = store.offset
        self._pull_target: str | None = None
        self._pull_sent_ms = 0

    def tick(
        self, view: MemberView, gossiped: Mapping[str, int], ready: bool, now_ms: int
    ) -> list[SendPeer]:
        """Return the notices and pulls that are due.

        :param view: the current members.
        :param gossiped: offsets by instance, from membership pings.
        :param ready: whether this instance may announce its offset.
        """
        actions = self._send_notices(view, ready, now_ms)
        if now_ms >= self._pull_check_due_ms:
            self._pull_check_due_ms = now_ms + PULL_CHECK_INTERVAL_MS
            actions += self.pull(view, gossiped, now_ms)
        return actions

    def notice(self, ready: bool, now_ms: int) -> OffsetNotice:
        """Return the notice about this instance.

        An instance that is starting announces that it has no state; otherwise
        another starting instance could treat its incomplete state as the newest.

        :param ready: whether this instance has finished starting.
        """
        if not ready:
            return OffsetNotice(-1, 0, -1, 0)
        return OffsetNotice(
            self._store.offset,
            self._store.fold.state.digest,
            self._snapshot_monitor.offset,
            self._snapshot_monitor.age_ms(now_ms),
        )

    def push_updates(
        self, view: MemberView, ready: bool, now_ms: int
    ) -> list[SendPeer]:
        """Return pushes of the records that were folded since the last call.

        A few records are pushed whole.  Many records at once mean that this instance
        is catching up with the others, so it announces only its offset.

        :param view: the current members.
        :param ready: whether this instance has finished starting.
        """
        offset = self._store.offset
        if not ready or offset == self._pushed_offset:
            return []
        records = self._store.ring.read_after(
            self._pushed_offset, self._settings.push_bytes
        )
        self._pushed_offset = offset
        self._recent_change_until_ms = now_ms + self._settings.news_ms
        self._schedule_early_notice(now_ms)
        peers = choose_peers(view, self._settings.push_fanout, self._rng)
        is_whole = bool(records) and records[-1].offset == offset
        if is_whole and len(records) <= MAX_PUSHED_RECORDS:
            push = RecordsPush(tuple(records), offset)
            return [send_to(peer, push) for peer in peers]
        notice = self.notice(ready, now_ms)
        return [send_to(peer, notice) for peer in peers]

    def pull(
        self, view: MemberView, gossiped: Mapping[str, int], now_ms: int
    ) -> list[SendPeer]:
        """Return a pull if another instance is ahead and no pull is in progress.

        The offset of an instance that does not respond in time is discarded, so the
        next pull goes to another instance.

        :param view: the current members.
        :param gossiped: offsets by instance, from membership pings.
        """
        if self._pull_target is not None:
            if now_ms - self._pull_sent_ms < self._settings.pull_timeout_ms:
                return []
            self.offsets.discard(self._pull_target)
            self._pull_target = None
        own_offset = self._store.offset
        peer = self.offsets.choose_ahead(view, gossiped, own_offset, self._rng)
        if peer is None:
            return []
        self._pull_target = peer.instance
        self._pull_sent_ms = now_ms
        return [send_to(peer, RecordsRequest(own_offset))]

    def record_response(self, instance: str) -> None:
        """Record that an instance responded to a pull."""
        if self._pull_target == instance:
            self._pull_target = None

    def check_divergence(self, notice: OffsetNotice) -> None:
        """Count a notice that shows a different state at this instance's offset.

        This cannot happen as long as all instances fold by the same rules.  If it
        does, operators must see it.

        :param notice: a notice from another instance.
        """
        state = self._store.fold.state
        if notice.offset == state.offset and notice.digest != state.digest:
            self.divergences += 1

    def _send_notices(
        self, view: MemberView, ready: bool, now_ms: int
    ) -> list[SendPeer]:
        if self._started_ms is None:
            self._started_ms = self._notice_due_ms = now_ms
        if now_ms < self._notice_due_ms:
            return []
        interval_ms, count = self._notice_rate(ready, now_ms)
        self._notice_due_ms = now_ms + round(
            interval_ms * self._rng.uniform(0.75, 1.25)
        )
        peers = choose_peers(view, count, self._rng)
        notice = self.notice(ready, now_ms)
        return [send_to(peer, notice) for peer in peers]

    def _schedule_early_notice(self, now_ms: int) -> None:
        interval_ms = self._settings.news_notice_interval_ms
        latest_ms = now_ms + round(interval_ms * self._rng.uniform(0.75, 1.25))
        self._notice_due_ms = min(self._notice_due_ms, latest_ms)

    def _notice_rate(self, ready: bool, now_ms: int) -> tuple[int, int]:
        """Return the interval to the next notices, and how many to send.

        The pushes of a change miss about one member in fifty when a tenth of all
        messages is lost.  While the change is recent, all members send notices more
        often, so that the missed members receive it soon.
        """
        settings = self._settings
        started_ms = self._started_ms or 0
        if not ready and now_ms - started_ms < settings.join_wait_ms:
            return settings.join_notice_interval_ms, settings.push_fanout
        if now_ms < self._recent_change_until_ms:
            return settings.news_notice_interval_ms, NOTICES_AFTER_CHANGE
        return settings.notice_interval_ms, 1
