"""The one place that knows at what version each stream began."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.streams.origin_finder import OriginFinder
from savorychute.gateway.streams.origin_table import OWN, OriginTable
from savorychute.gateway.streams.origin_teller import OriginTeller
from savorychute.gateway.streams.stream_origin import StreamOrigin
from savorychute.gateway.streams.version_marks import (
    MAX_WAIT_MS,
    Mark,
    VersionMarks,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.requests.attempt_port import TimerPort
    from savorychute.gateway.streams.origin_finder import Finding
    from savorychute.gateway.streams.origin_store import OriginStore
    from savorychute.gateway.streams.stream_news import StreamNews
    from savorychute.gateway.streams.stream_question import StreamQuestion
    from savorychute.membership.member_view import MemberView


class StreamOrigins:
    """Records the origins of the streams of this instance, and finds those of others.

    :param store: what the store holds of origins.
    :param clock: the clock.
    :param timers: timers.
    """

    def __init__(self, store: OriginStore, clock: Clock, timers: TimerPort) -> None:
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._view: MemberView | None = None
        self._send: Callable[[SendPeer], None] | None = None
        self.table = OriginTable()
        self.teller = OriginTeller(clock, timers)
        self.finder = OriginFinder(self.table, store, clock, timers)
        self.marks = VersionMarks()

    def connect(self, send: Callable[[SendPeer], None]) -> None:
        """Set how messages to other instances are sent.

        :param send: sends a message immediately.
        """
        self._send = send
        self.teller.send = send
        self.finder.send = send

    def is_ready(self, now_ms: int) -> bool:
        """Return whether streams can begin here.

        :param now_ms: the current time.
        """
        return self.marks.has_read or now_ms - self._started_ms >= MAX_WAIT_MS

    # -- called for requests

    def begin(self, key: bytes, origin: StreamOrigin, lifetime_ms: int) -> None:
        """Record what begins a stream, before its first event leaves this instance.

        :param key: key of the stream.
        :param origin: the service and version of the endpoint.
        :param lifetime_ms: how long its caller may take it up.
        """
        self.table.record(key, origin, OWN, lifetime_ms, self._clock.now_ms())
        self.teller.tell(key, origin, lifetime_ms)

    def complete(self, key: bytes) -> None:
        """Forget a stream whose caller has received all of it.

        :param key: key of the stream.
        """
        self.teller.forget(key)

    def find(
        self, key: bytes, service: str, on_found: Callable[[Finding], None]
    ) -> None:
        """Find what began a stream that its caller takes up.

        :param key: key of the stream; empty if its caller names none.
        :param service: the only service of its route; empty if there are several.
        :param on_found: called once, at once or later.
        """
        self.finder.find(key, service, on_found)

    def select_to_begin(
        self,
        records: Sequence[EndpointRecord],
        service: str,
        versions: Sequence[str | None],
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints that may begin a stream.

        Those of a version that is not known to be marked are left out.  If there are no
        others, the stream has to wait for the mark, usually some ms.

        :param records: endpoints of a service.
        :param service: name of the service.
        :param versions: the versions of its endpoints.
        """
        marked = [
            version
            for version in versions
            if version is not None
            and self.marks.may_begin(StreamOrigin(service, version))
        ]
        selected = records
        if len(marked) != len(versions):
            selected = [
                each for each in records if each.entry.software_version in marked
            ]
        if selected or not records:
            self.marks.end_wait(service)
            return selected
        is_overdue = self.marks.hasten(service, self._clock.now_ms())
        return records if is_overdue else selected

    # -- called for other instances

    def set_view(self, view: MemberView) -> None:
        """Set the current members.

        :param view: the members.
        """
        self._view = view
        self.finder.set_view(view)
        self.teller.set_view(view)
        self.table.expire(self._clock.now_ms())

    def handle_news(self, sender: str, news: StreamNews) -> None:
        """Apply what another instance tells.

        :param sender: the other instance.
        :param news: its message.
        """
        self.finder.handle_news(sender, news.groups)
        self.finder.handle_response(sender, news.answered)
        stored = [group for group in news.groups if group.stored]
        if stored and self.teller.on_collected is not None:
            self.teller.on_collected(stored)
        for mark in news.marks:
            origin = StreamOrigin(mark.service, mark.version)
            if mark.stamp:
                self.marks.add(Mark(origin, mark.stamp), self._clock.now_ms())
            else:
                self.marks.remove(origin)

    @property
    def view(self) -> MemberView | None:
        """The current members; None before this instance has registered."""
        return self._view

    def broadcast(self, news: StreamNews) -> None:
        """Tell all other instances something.

        :param news: the message.
        """
        view = self._view
        if view is None or self._send is None:
            return
        for member in view.alive:
            if member.instance != view.own.instance:
                self._send(
                    SendPeer(member.instance, member.host, member.peer_port, news)
                )

    def respond(self, question: StreamQuestion) -> StreamNews:
        """Return the origins that another instance asks for.

        :param question: its question.
        """
        return self.finder.respond(question)
