"""Messages between instances, other than those of the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.discovery.advertisement import read_advertisement
from savorychute.gateway.duties.usage_told import UsageTold
from savorychute.gateway.engines.engine_news import EngineNews
from savorychute.gateway.paths.tunnel_offer import decode_offer, encode_offer
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.gateway.recovery.crash_history_fetcher import CrashHistoryFetcher
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_report import CrashReport
from savorychute.gateway.recovery.verdict_news import VerdictNews
from savorychute.gateway.store.store_answer import StoreAnswer
from savorychute.gateway.store.store_question import StoreQuestion
from savorychute.gateway.streams.stream_news import StreamNews
from savorychute.gateway.streams.stream_question import StreamQuestion
from savorychute.membership.ack import Ack
from savorychute.membership.member_status import MemberStatus
from savorychute.membership.ping import Ping

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.gateway.admission.organisation_demand import OrganisationDemand
    from savorychute.gateway.daemon.tunnel_server import TunnelServer
    from savorychute.gateway.discovery.instance_directory import InstanceDirectory
    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.true_time import TrueTime
    from savorychute.gateway.duties.usage_broadcaster import UsageBroadcaster
    from savorychute.gateway.endpoints.statement_table import StatementTable
    from savorychute.gateway.engines.speed_exchange import SpeedExchange
    from savorychute.gateway.paths.relay_table import RelayTable
    from savorychute.gateway.permits.permit_handler import PermitHandler
    from savorychute.gateway.recovery.crash_exchange import CrashExchange
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.shared_reader import SharedReader
    from savorychute.gateway.streams.stream_origins import StreamOrigins
    from savorychute.membership.member_view import MemberView


class PeerParts(NamedTuple):
    """The parts of an instance that exchange messages, or that need the members.

    ``count_streams`` returns how many latency-sensitive streams of this instance run.
    ``usage`` is None if usage is not reported, ``speeds`` if engines are not observed, and
    ``organisations`` if no rules for competing requests apply.
    """

    directory: InstanceDirectory
    crashes: CrashExchange
    demand: PartitionDemand
    shortages: Shortages
    statements: StatementTable
    permits: PermitHandler
    count_streams: Callable[[], int]
    plan: ReadPlan
    shared_reader: SharedReader
    candidates: DutyCandidates
    usage: UsageBroadcaster | None
    time: TrueTime
    relays: RelayTable
    tunnels: TunnelServer
    origins: StreamOrigins
    speeds: SpeedExchange | None
    organisations: OrganisationDemand | None


class PeerMessageRouter:
    """Routes messages to the parts that handle them, and collects messages to send.

    :param parts: parts of this instance.
    :param rng: random number generator, which chooses the instances to query.
    """

    def __init__(self, parts: PeerParts, rng: random.Random) -> None:
        self.parts = parts
        self._crash_history_fetcher = CrashHistoryFetcher(rng)

    def make_update(self, now_ms: int) -> MemberStatus:
        """Return the update that each probe carries to other instances.

        :param now_ms: the current time.
        """
        parts = self.parts
        return MemberStatus(
            parts.demand.advertised(now_ms),
            parts.shortages.advertised(now_ms),
            parts.time.own_offset_ms() if parts.usage is not None else None,
            parts.statements.limits.announcements(now_ms),
            parts.statements.leaving.announcements(now_ms),
            encode_offer(parts.tunnels.offer()),
            parts.organisations.announcements(now_ms) if parts.organisations else (),
        )

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Pass the current members to the parts; return the messages that are due.

        :param view: the current members.
        :param now_ms: the current time.
        """
        parts = self.parts
        parts.plan.set_view(view)
        parts.permits.set_view(view)
        parts.demand.observe(parts.count_streams(), len(view.alive), now_ms)
        parts.shortages.instances = max(1, len(view.alive))
        parts.candidates.set_view(view)
        parts.relays.set_view(view)
        parts.tunnels.set_view(view)
        parts.origins.set_view(view)
        parts.crashes.set_view(view)
        messages: list[SendPeer] = []
        if not parts.crashes.is_caught_up:
            messages += self._crash_history_fetcher.tick(view, now_ms)
        messages += parts.shared_reader.tick(now_ms)
        if parts.speeds is not None:
            messages += parts.speeds.tick(view, now_ms)
        if parts.usage is not None:
            messages += parts.usage.tick(now_ms)
        return messages

    def handle(
        self, sender: str, message: tuple[Any, ...], view: MemberView, now_ms: int
    ) -> list[SendPeer]:
        """Handle a message; return the responses to it.

        :param sender: the instance that sent the message.
        :param message: any message; one that no part handles is ignored.
        :param view: the current members.
        :param now_ms: the current time.
        """
        parts = self.parts
        match message:
            case CrashReport():
                parts.crashes.handle_report(message)
            case VerdictNews():
                parts.crashes.handle_verdicts(message)
            case CrashQuestion():
                requester = view.address_of(sender)
                return [] if requester is None else [*parts.crashes.respond(requester)]
            case StoreAnswer():
                parts.shared_reader.handle_response(message, now_ms)
            case StoreQuestion():
                response = parts.shared_reader.respond(message, now_ms)
                return _reply(view, sender, response)
            case PermitAnswer():
                parts.permits.handle_response(message)
            case PermitQuestion():
                return _reply(view, sender, parts.permits.respond(message))
            case StreamNews():
                parts.origins.handle_news(sender, message)
            case StreamQuestion():
                return _reply(view, sender, parts.origins.respond(message))
            case EngineNews():
                if parts.speeds is not None:
                    parts.speeds.handle(sender, message, now_ms)
            case UsageTold():
                if parts.usage is not None:
                    parts.usage.handle(sender, message)
            case Ping() | Ack():
                self._record_reported_state(sender, message, now_ms)
        return []

    def _record_reported_state(
        self, sender: str, probe: Ping | Ack, now_ms: int
    ) -> None:
        parts = self.parts
        parts.demand.record_reported(probe.load, now_ms)
        parts.shortages.record_reported(probe.shortages, now_ms)
        parts.statements.limits.record_reported(probe.limits, now_ms)
        parts.statements.leaving.record_reported(probe.leaving, now_ms)
        if parts.organisations is not None:
            parts.organisations.record_reported(probe.demands, now_ms)
        parts.time.record_wall_time(sender, probe.wall_ms, now_ms)
        offer = decode_offer(probe.tunnels)
        parts.relays.record_offer(probe.origin.address, offer, now_ms)

    def record_readiness(
        self, sender: str, message: tuple[Any, ...], view: MemberView, now_ms: int
    ) -> None:
        """Record whether callers may be sent to another instance.

        :param sender: the instance that sent a message.
        :param message: the message.
        :param view: the current members, after the message was applied.
        :param now_ms: the current time.
        """
        advertisement = read_advertisement(message)
        if advertisement is not None:
            ready = advertisement.ready and sender not in view.leaving
            self.parts.directory.record_reported_instance(
                advertisement.address, ready, now_ms
            )


def _reply(
    view: MemberView, requester: str, response: tuple[Any, ...]
) -> list[SendPeer]:
    member = view.address_of(requester)
    if member is None:
        return []  # The requester is not known here yet; it queries another one.
    return [SendPeer(member.instance, member.host, member.peer_port, response)]
