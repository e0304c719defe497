"""What instances tell and ask each other, besides who is alive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.discovery.advertised import read_advertised
from savorychute.gateway.duties.usage_told import UsageTold
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.gateway.recovery.crash_inquiry import CrashInquiry
from savorychute.gateway.recovery.crash_news import CrashNews
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_spread import CrashSpread
from savorychute.gateway.store.store_answer import StoreAnswer
from savorychute.gateway.store.store_question import StoreQuestion
from savorychute.membership.ack import Ack
from savorychute.membership.member_status import MemberStatus
from savorychute.membership.ping import Ping

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.gateway.discovery.instance_directory import InstanceDirectory
    from savorychute.gateway.dispatch.lane_demand import LaneDemand
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.true_time import TrueTime
    from savorychute.gateway.duties.usage_spread import UsageSpread
    from savorychute.gateway.endpoints.statement_book import StatementBook
    from savorychute.gateway.permits.permit_desk import PermitDesk
    from savorychute.gateway.recovery.crash_book import CrashBook
    from savorychute.gateway.store.reading_plan import ReadingPlan
    from savorychute.gateway.store.shared_reading import SharedReading
    from savorychute.membership.member_view import MemberView


class PeerParts(NamedTuple):
    """The parts of an instance that others hear of, or that follow who is alive.

    ``count_streams`` tells how many steady streams of this instance run; ``usage`` is None
    where nobody reports any.
    """

    directory: InstanceDirectory
    crashes: CrashBook
    demand: LaneDemand
    shortages: Shortages
    statements: StatementBook
    permits: PermitDesk
    count_streams: Callable[[], int]
    plan: ReadingPlan
    reading: SharedReading
    candidates: DutyCandidates
    usage: UsageSpread | None
    time: TrueTime


class PeerMessages:
    """Hands messages to the parts that they are for, and collects what is due.

    :param parts: of this instance.
    :param rng: chooses whom to ask.
    """

    def __init__(self, parts: PeerParts, rng: random.Random) -> None:
        self.parts = parts
        self._spread = CrashSpread(parts.crashes)
        self._inquiry = CrashInquiry(rng)

    def make_news(self, now_ms: int) -> MemberStatus:
        """Return what the others are told with each probe.

        :param now_ms: the time.
        """
        parts = self.parts
        return MemberStatus(
            parts.demand.advertised(now_ms),
            parts.shortages.advertised(now_ms),
            parts.time.own_offset_ms() if parts.usage is not None else None,
            parts.statements.limits.told(now_ms),
            parts.statements.leaving.told(now_ms),
        )

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Let the parts follow the members; return the messages that are due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        parts = self.parts
        parts.plan.follow(view)
        parts.permits.follow(view)
        parts.demand.observe(parts.count_streams(), len(view.alive), now_ms)
        parts.shortages.instances = max(1, len(view.alive))
        parts.candidates.follow(view)
        due = self._spread.tick(view, now_ms)
        due += self._inquiry.tick(view, now_ms)
        due += parts.reading.tick(now_ms)
        if parts.usage is not None:
            due += parts.usage.tick(now_ms)
        return due

    def take(
        self, sender: str, message: tuple[Any, ...], view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        """Take a message in; return the answers to it.

        :param sender: the instance that sent it.
        :param message: any message; one that is for no part is passed over.
        :param view: who is alive.
        :param now_ms: the time.
        """
        parts = self.parts
        match message:
            case CrashNews():
                parts.crashes.take_in(message.sightings, now_ms - message.age_ms)
            case CrashQuestion():
                asker = view.address_of(sender)
                return [] if asker is None else self._spread.answer(asker, now_ms)
            case StoreAnswer():
                parts.reading.take_answer(message, now_ms)
            case StoreQuestion():
                answer = parts.reading.answer(message, now_ms)
                return _reply(view, sender, answer)
            case PermitAnswer():
                parts.permits.take_answer(message)
            case PermitQuestion():
                return _reply(view, sender, parts.permits.answer(message))
            case UsageTold():
                if parts.usage is not None:
                    parts.usage.take(sender, message)
            case Ping() | Ack():
                self._hear(sender, message, now_ms)
        return []

    def _hear(self, sender: str, probe: Ping | Ack, now_ms: int) -> None:
        parts = self.parts
        parts.demand.hear(probe.load, now_ms)
        parts.shortages.hear(probe.shortages, now_ms)
        parts.statements.limits.hear(probe.limits, now_ms)
        parts.statements.leaving.hear(probe.leaving, now_ms)
        parts.time.hear(sender, probe.wall_ms, now_ms)

    def follow_readiness(
        self, sender: str, message: tuple[Any, ...], view: MemberView, now_ms: int
    ) -> None:
        """Note whether callers may be sent to another instance.

        :param sender: the instance that sent a message.
        :param message: the message.
        :param view: who is alive, with what the message has changed.
        :param now_ms: the time.
        """
        said = read_advertised(message)
        if said is not None:
            ready = said.ready and sender not in view.leaving
            self.parts.directory.hear(said.address, ready, now_ms)


def _reply(view: MemberView, asker: str, answer: tuple[Any, ...]) -> list[SendPeer]:
    member = view.address_of(asker)
    if member is None:
        return []  # It has not been heard of yet; it will ask another one.
    return [SendPeer(member.instance, member.host, member.peer_port, answer)]
