"""An instance of a virtual run: carries out its actions on the heap."""

from __future__ import annotations

import traceback
from collections import deque
from typing import TYPE_CHECKING, Any

from savorychute.actions import (
    AppendRecord,
    CancelAttempt,
    FetchListing,
    FinishResponse,
    OperatorReply,
    PollEndpoint,
    ReadRecords,
    RefuseRequest,
    SendChunk,
    SendOrder,
    SendPeer,
    StartAttempt,
    StartResponse,
)
from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptSent,
    CallerLeft,
    OrderFinished,
    PeerReceived,
)
from savorychute.requests.start_notice import StartNotice
from savorychute.testing.connection import Connection
from savorychute.testing.endpoint_down import EndpointDownError
from savorychute.testing.engine_host import EngineHost
from savorychute.testing.ledger import Telling
from savorychute.testing.matrix import steps
from savorychute.testing.order_gate import EngineOrder
from savorychute.testing.platform_link import PlatformLink

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import Action
    from savorychute.inputs import CallerRequest, Input
    from savorychute.instance import Instance
    from savorychute.member_address import MemberAddress
    from savorychute.testing.caller_port import CallerPort
    from savorychute.testing.surroundings import Surroundings

CONFIGURATION_STREAM = 'configuration'
CONNECT_TIMEOUT_MS = 1_000.0
LOST_REPLY_MS = 2_000.0
SHORTEST_TICK_MS = 1.0
LEAVING_SEEN_MS = 2_000.0


class InstanceHost:
    """One process: its instance, clock, connections and callers.

    :param world: what all parts of the run share.
    :param address: who and where it is.
    :param instance: what is driven.
    :param clock_ms: what its clock shows when the run begins.
    :param find_peer: returns the instance that listens at a host and port.
    :param on_reply: takes what it answers to operators.
    """

    def __init__(
        self,
        world: Surroundings,
        address: MemberAddress,
        instance: Instance,
        clock_ms: float,
        find_peer: Callable[[str, int], InstanceHost | None],
        on_reply: Callable[[OperatorReply], None],
    ) -> None:
        self.world = world
        self._find_peer = find_peer
        self.address = address
        self.instance = instance
        self.is_up = True
        self.is_paused = False
        self.is_leaving = False
        self.clock_ms = clock_ms
        self.served_since_ms = world.heap.now_ms
        self.connections: dict[str, Connection] = {}
        self.tries: dict[str, CallerPort] = {}
        self._inputs: deque[Input] = deque()
        self._left_while_paused: list[str] = []
        self._draining = False
        self._tick_due_ms: float | None = None
        platform = PlatformLink(world, self.name, self.deliver)
        self._performers: dict[type, Callable[[Any], None]] = {
            AppendRecord: platform.append,
            CancelAttempt: self._cancel,
            FetchListing: platform.fetch_listing,
            FinishResponse: self._finish,
            OperatorReply: on_reply,
            PollEndpoint: self._poll,
            ReadRecords: platform.read,
            RefuseRequest: self._refuse,
            SendChunk: self._send_chunk,
            SendOrder: self._order,
            SendPeer: self._send_peer,
            StartAttempt: self._start,
            StartResponse: self._start_response,
        }

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.address.instance

    @property
    def failure_domain(self) -> str:
        """Where it is."""
        return self.address.failure_domain

    @property
    def is_serving(self) -> bool:
        """Whether it takes requests."""
        return self.is_up and not self.is_paused and not self.is_leaving

    def is_home_of(self, endpoint: str) -> bool:
        """Return whether it takes itself for an endpoint's home; a look inside."""
        ledger = self.instance._parts.credits
        group = ledger._groups.group_of(endpoint)
        return group is not None and ledger._home_handler.find(group.key) is not None

    def now_ms(self) -> int:
        """Return what the instance's own clock shows."""
        return int(self.world.heap.now_ms + self.clock_ms)

    def versions(self) -> dict[str, int]:
        """Return the version of each item in force; a look inside."""
        return self.instance._parts.configuration.state.versions

    def deliver(self, told: Input) -> None:
        """Give the instance an input, or keep it until a pause is over."""
        if not self.is_up:
            return
        self._inputs.append(told)
        self._drain()

    def take_request(self, request: CallerRequest, call_try: CallerPort) -> None:
        """Take a caller's request on a connection of its own."""
        self.tries[request.request_id] = call_try
        self.world.reached(steps.RECEIVED, call_try.call.call_id, self.name)
        self.world.tier_watch.arrived(self.name, request.request_id, call_try.call)
        self.deliver(request)

    def caller_left(self, request_id: str) -> None:
        """Note that a caller closed its connection.

        A process that wakes may look at its timers and at what it was sent
        before it sees that a caller is gone, and a caller whose end of the
        connection was lost on the way is missed only later.
        """
        if self.is_paused:
            self._left_while_paused.append(request_id)
            return
        if self.tries.pop(request_id, None) is not None:
            self.world.note_left(self.name, request_id)
            self.deliver(CallerLeft(request_id))

    def start(self) -> None:
        """Begin to tick."""
        self._tick()

    def pause(self) -> None:
        """Stop the process; what arrives waits in its sockets."""
        self.is_paused = True

    def wake(self) -> None:
        """Let the process go on."""
        self.is_paused = False
        self.served_since_ms = self.world.heap.now_ms
        self._tick()
        left, self._left_while_paused = self._left_while_paused, []
        for request_id in left:
            self.world.heap.call_later(LEAVING_SEEN_MS, self.caller_left, request_id)

    def jump_clock(self, jump_ms: float) -> None:
        """Let the clock jump ahead, as after a suspend of the machine."""
        self.clock_ms += jump_ms

    def crash(self) -> None:
        """End the process: every connection of it breaks."""
        self.is_up = False
        self._inputs.clear()
        for connection in list(self.connections.values()):
            connection.close()
        self.connections.clear()
        delay_ms = self.world.network.settings.client_ms
        for call_try in list(self.tries.values()):
            self.world.heap.call_later(delay_ms, call_try.broken)
        self.tries.clear()
        self.world.tier_watch.forget(self.name)

    def _drain(self) -> None:
        if self._draining or self.is_paused:
            return
        self._draining = True
        while self._inputs and self.is_up:
            told = self._inputs.popleft()
            self._perform(self._ask(self.instance.deliver, told))
        self._draining = False
        self._arm_tick()

    def _tick(self) -> None:
        self._tick_due_ms = None
        if not self.is_up or self.is_paused:
            return
        self._draining = True
        self._perform(self._ask(self.instance.tick))
        self._draining = False
        self._drain()

    def _arm_tick(self) -> None:
        heap = self.world.heap
        wait_ms = max(SHORTEST_TICK_MS, self.instance.next_tick_ms - self.now_ms())
        due_ms = heap.now_ms + wait_ms
        if self._tick_due_ms is None or due_ms < self._tick_due_ms:
            self._tick_due_ms = due_ms
            heap.call_at(due_ms, self._tick_if_due, due_ms)

    def _tick_if_due(self, due_ms: float) -> None:
        if self._tick_due_ms == due_ms:
            self._tick()

    def _ask(self, method: Callable[..., list[Action]], *args: object) -> list[Action]:
        """Call the instance; note an exception and go on, as a daemon does."""
        try:
            return method(*args, self.now_ms())
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f'{type(error).__name__} {error} in {place.name}:{place.lineno}'
            self.world.ledger.defects.append(f'{self.name}: {text}')
            return []

    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._performers[type(action)](action)

    # -- endpoints

    def _start(self, start: StartAttempt) -> None:
        world = self.world
        endpoint = world.endpoints[start.endpoint]
        domain = self.failure_domain
        connection = Connection(
            world.heap, world.network, start, endpoint, domain, self._receive
        )
        self.connections[start.attempt_id] = connection
        world.note_start(self.name, start)
        if not world.network.is_reachable(domain, endpoint.failure_domain):
            world.heap.call_later(
                CONNECT_TIMEOUT_MS, connection.fail, False, False, 'connect timeout'
            )
            return
        if not endpoint.core.is_up:
            delay_ms = 2 * world.network.delay_ms(domain, endpoint.failure_domain)
            world.heap.call_later(delay_ms, connection.fail, False, False, 'refused')
            return
        self._inputs.append(AttemptSent(start.attempt_id))
        if self._draining:
            world.heap.call_later(0, self._send_unless_cancelled, connection)
        else:
            self._drain()
            self._send_unless_cancelled(connection)

    def _send_unless_cancelled(self, connection: Connection) -> None:
        if connection.is_open and self.is_up:
            self.world.note_sent(self.name, connection.start)
            connection.send_request()

    def _receive(self, connection: Connection, told: Input) -> None:
        if isinstance(told, AttemptEnded | AttemptFailed):
            connection.is_open = False
            self.connections.pop(connection.start.attempt_id, None)
        if isinstance(told, AttemptChunk | AttemptEnded):
            is_end = isinstance(told, AttemptEnded)
            self.world.note_answer(self.name, connection.start, is_end)
        self.deliver(told)

    def _cancel(self, cancel: CancelAttempt) -> None:
        connection = self.connections.pop(cancel.attempt_id, None)
        if connection is not None:
            self.world.note_cancel(self.name, connection.start, cancel.keep_stream)
            connection.cancel(cancel.keep_stream)

    def _poll(self, poll: PollEndpoint) -> None:
        world = self.world
        endpoint = world.endpoints.get(poll.endpoint)
        if endpoint is None:
            return
        if not world.network.is_reachable(self.failure_domain, endpoint.failure_domain):
            return
        delay_ms = world.network.delay_ms(self.failure_domain, endpoint.failure_domain)
        world.heap.call_later(delay_ms, self._answer_poll, poll, delay_ms)

    def _answer_poll(self, poll: PollEndpoint, delay_ms: float) -> None:
        report = self.world.endpoints[poll.endpoint].poll(poll.cache_cursor)
        if report is not None:
            self.world.heap.call_later(delay_ms, self.deliver, report)

    def _order(self, order: SendOrder) -> None:
        world = self.world
        endpoint = world.endpoints[order.endpoint]
        delay_ms = world.network.delay_ms(self.failure_domain, endpoint.failure_domain)
        world.heap.call_later(delay_ms, self._carry_order, order, delay_ms)

    def _carry_order(self, order: SendOrder, delay_ms: float) -> None:
        world = self.world
        endpoint = world.endpoints[order.endpoint]
        outcome = 'refused'
        if isinstance(endpoint, EngineHost):
            taken = EngineOrder(
                order.verb, order.target, order.fencing, order.expected_state
            )
            try:
                outcome = endpoint.engine.order(taken, world.heap.now_ms)
            except EndpointDownError:
                outcome = 'unknown'
        finished = OrderFinished(order.order_id, order.endpoint, outcome)
        world.heap.call_later(delay_ms, self.deliver, finished)

    # -- other instances

    def _send_peer(self, send: SendPeer) -> None:
        world = self.world
        target = self._find_peer(send.host, send.peer_port)
        if target is None:
            return
        received = PeerReceived(self.name, send.message)
        if isinstance(send.message, StartNotice):
            world.reached(steps.ANNOUNCED, steps.ANY_CALL, self.name)
        for delay_ms in world.network.peer_delays(
            self.failure_domain, target.failure_domain
        ):
            world.heap.call_later(delay_ms, target.deliver, received)

    # -- callers

    def _start_response(self, response: StartResponse) -> None:
        call_try = self.tries.get(response.request_id)
        if call_try is not None:
            self.world.tier_watch.answering(self.name, response.request_id)
            self._to_caller(call_try.started, response)

    def _send_chunk(self, chunk: SendChunk) -> None:
        call_try = self.tries.get(chunk.request_id)
        if call_try is not None:
            self._to_caller(call_try.received, chunk)

    def _finish(self, finish: FinishResponse) -> None:
        call_try = self.tries.pop(finish.request_id, None)
        if call_try is not None:
            self._note_telling(call_try, finish)
            self._to_caller(call_try.finished, finish)

    def _refuse(self, refuse: RefuseRequest) -> None:
        call_try = self.tries.pop(refuse.request_id, None)
        if call_try is not None:
            self._note_telling(call_try, refuse)
            self._to_caller(call_try.refused, refuse)

    def _note_telling(
        self, call_try: CallerPort, told: FinishResponse | RefuseRequest
    ) -> None:
        world = self.world
        telling = Telling(
            world.heap.now_ms,
            self.name,
            told.request_id,
            call_try.call.call_id,
            told.code,
            told.ran,
        )
        world.note_telling(telling)

    def _to_caller(self, function: Callable[..., None], told: object) -> None:
        self.world.heap.call_later(
            self.world.network.settings.client_ms, function, told
        )
