"""Tell other instances of news, and pull what is missing from them."""

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
    from savorychute.configuration.snapshot_watch import SnapshotWatch
    from savorychute.membership.member_view import MemberView

MAX_PUSHED_RECORDS = 8
NEWS_NOTICES = 2
LOOK_INTERVAL_MS = 100
"""How often the offsets on the membership's pings are looked through."""


class Spreader:
    """Rumour mongering with anti-entropy.

    Demers et al., "Epidemic Algorithms for Replicated Database Maintenance"
    (1987).  Whoever learns something new pushes it once to a few members, which
    reaches nearly all within a few hops; regular notices to one member each
    find the rest, as do the offsets on the membership's pings.

    :param settings: intervals and bounds.
    :param store: what this instance has.
    :param watch: the age of the newest snapshot.
    :param rng: chooses members and spreads notices.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        store: ConfigurationStore,
        watch: SnapshotWatch,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._watch = watch
        self._rng = rng
        self.offsets = PeerOffsets()
        self.divergences = 0
        self._started_ms: int | None = None
        self._notice_due_ms = 0
        self._look_due_ms = 0
        self._news_until_ms = 0
        self._pushed_offset = store.offset
        self._asked: str | None = None
        self._asked_ms = 0

    def tick(
        self, view: MemberView, gossiped: Mapping[str, int], ready: bool, now_ms: int
    ) -> list[SendPeer]:
        """Return notices and pulls that are due.

        :param view: the members.
        :param gossiped: offsets that came with the membership's pings.
        :param ready: whether this instance may tell its offset.
        """
        actions = self._send_notices(view, ready, now_ms)
        if now_ms >= self._look_due_ms:
            self._look_due_ms = now_ms + LOOK_INTERVAL_MS
            actions += self.pull(view, gossiped, now_ms)
        return actions

    def notice(self, ready: bool, now_ms: int) -> OffsetNotice:
        """Return what to tell of this instance.

        An instance that is starting says that it has nothing, lest another one
        that starts takes its unfinished state for the newest.

        :param ready: whether this instance has finished starting.
        """
        if not ready:
            return OffsetNotice(-1, 0, -1, 0)
        return OffsetNotice(
            self._store.offset,
            self._store.fold.state.digest,
            self._watch.offset,
            self._watch.age_ms(now_ms),
        )

    def push_news(self, view: MemberView, ready: bool, now_ms: int) -> list[SendPeer]:
        """Return pushes of what was folded since the last call.

        A little news goes out whole.  Much at once means that this instance
        catches up on what others mostly have, so it only tells its offset.

        :param view: the members.
        :param ready: whether this instance has finished starting.
        """
        offset = self._store.offset
        if not ready or offset == self._pushed_offset:
            return []
        records = self._store.ring.take_after(
            self._pushed_offset, self._settings.push_bytes
        )
        self._pushed_offset = offset
        self._news_until_ms = now_ms + self._settings.news_ms
        self._hurry_notice(now_ms)
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
        """Return a pull if another instance is ahead and none is under way.

        One that does not answer in time is forgotten, so the next pull goes to
        another one.

        :param view: the members.
        :param gossiped: offsets that came with the membership's pings.
        """
        if self._asked is not None:
            if now_ms - self._asked_ms < self._settings.pull_timeout_ms:
                return []
            self.offsets.forget(self._asked)
            self._asked = None
        own_offset = self._store.offset
        peer = self.offsets.choose_ahead(view, gossiped, own_offset, self._rng)
        if peer is None:
            return []
        self._asked = peer.instance
        self._asked_ms = now_ms
        return [send_to(peer, RecordsRequest(own_offset))]

    def answered(self, instance: str) -> None:
        """Note that an instance answered a pull."""
        if self._asked == instance:
            self._asked = None

    def compare(self, notice: OffsetNotice) -> None:
        """Count a notice that shows two states at one offset.

        It cannot happen as long as all instances fold by the same rules.  If
        it does, it must not stay unseen.

        :param notice: from another instance.
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
        interval_ms, count = self._pace(ready, now_ms)
        self._notice_due_ms = now_ms + round(
            interval_ms * self._rng.uniform(0.75, 1.25)
        )
        peers = choose_peers(view, count, self._rng)
        notice = self.notice(ready, now_ms)
        return [send_to(peer, notice) for peer in peers]

    def _hurry_notice(self, now_ms: int) -> None:
        interval_ms = self._settings.news_notice_interval_ms
        latest_ms = now_ms + round(interval_ms * self._rng.uniform(0.75, 1.25))
        self._notice_due_ms = min(self._notice_due_ms, latest_ms)

    def _pace(self, ready: bool, now_ms: int) -> tuple[int, int]:
        """Return the time to the next notices, and how many to send.

        The pushes of a change miss about one member in fifty when a tenth of
        all messages is lost.  Until the change is old, everybody asks around
        more often, so that none of those waits long.
        """
        settings = self._settings
        started_ms = self._started_ms or 0
        if not ready and now_ms - started_ms < settings.join_wait_ms:
            return settings.join_notice_interval_ms, settings.push_fanout
        if now_ms < self._news_until_ms:
            return settings.news_notice_interval_ms, NEWS_NOTICES
        return settings.notice_interval_ms, 1
