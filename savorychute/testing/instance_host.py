"""A simulated instance process, which executes the actions of its instance."""

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
from savorychute.testing.ledger import ReportedOutcome
from savorychute.testing.matrix import steps
from savorychute.testing.order_handler import EngineOrder
from savorychute.testing.platform_client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import Action
    from savorychute.inputs import CallerRequest, Input
    from savorychute.instance import Instance
    from savorychute.member_address import MemberAddress
    from savorychute.testing.caller_connection import CallerConnection
    from savorychute.testing.environment import Environment

CONFIGURATION_STREAM = 'configuration'
CONNECT_TIMEOUT_MS = 1_000.0
LOST_REPLY_TIMEOUT_MS = 2_000.0
MIN_TICK_MS = 1.0
DISCONNECT_DETECTION_MS = 2_000.0


class InstanceHost:
    """A process with its instance, clock, connections and callers.

    :param simulation: the environment that all parts of the run share.
    :param address: name, failure domain and address of the instance.
    :param instance: the instance.
    :param clock_ms: the clock of the instance at the start of the simulation.
    :param find_peer: returns the instance that listens at a host and port.
    :param on_reply: receives the replies to operators.
    """

    def __init__(
        self,
        simulation: Environment,
        address: MemberAddress,
        instance: Instance,
        clock_ms: float,
        find_peer: Callable[[str, int], InstanceHost | None],
        on_reply: Callable[[OperatorReply], None],
    ) -> None:
        self.simulation = simulation
        self._find_peer = find_peer
        self.address = address
        self.instance = instance
        self.is_up = True
        self.is_paused = False
        self.is_leaving = False
        self.clock_ms = clock_ms
        self.served_since_ms = simulation.heap.now_ms
        self.connections: dict[str, Connection] = {}
        self.caller_connections: dict[str, CallerConnection] = {}
        self._inputs: deque[Input] = deque()
        self._closed_while_paused: list[str] = []
        self._is_processing_inputs = False
        self._tick_due_ms: float | None = None
        platform = PlatformClient(simulation, self.name, self.deliver)
        self._action_handlers: dict[type, Callable[[Any], None]] = {
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
        """The name of the instance."""
        return self.address.instance

    @property
    def failure_domain(self) -> str:
        """The failure domain of the instance."""
        return self.address.failure_domain

    @property
    def is_serving(self) -> bool:
        """Whether the instance accepts requests."""
        return self.is_up and not self.is_paused and not self.is_leaving

    def is_home_of(self, endpoint: str) -> bool:
        """Return whether the instance considers itself the home of an endpoint.

        This reads private state of the instance.
        """
        credit_ledger = self.instance._parts.credits
        group = credit_ledger._groups.group_of(endpoint)
        return (
            group is not None
            and credit_ledger._home_handler.find(group.key) is not None
        )

    def now_ms(self) -> int:
        """Return the time of the instance's own clock."""
        return int(self.simulation.heap.now_ms + self.clock_ms)

    def versions(self) -> dict[str, int]:
        """Return the version of each item in force, from private state."""
        return self.instance._parts.configuration.state.versions

    def deliver(self, message: Input) -> None:
        """Pass an input to the instance, or queue it until a pause ends."""
        if not self.is_up:
            return
        self._inputs.append(message)
        self._process_inputs()

    def receive_request(
        self, request: CallerRequest, caller_connection: CallerConnection
    ) -> None:
        """Handle a caller's request on its own connection."""
        self.caller_connections[request.request_id] = caller_connection
        self.simulation.reached(
            steps.RECEIVED, caller_connection.call.call_id, self.name
        )
        self.simulation.tier_monitor.arrived(
            self.name, request.request_id, caller_connection.call
        )
        self.deliver(request)

    def caller_left(self, request_id: str) -> None:
        """Handle that a caller closed its connection.

        After a pause, a process may run its timers and handle received data
        before it detects that a caller has disconnected, and a lost close of a
        connection is detected only later.
        """
        if self.is_paused:
            self._closed_while_paused.append(request_id)
            return
        if self.caller_connections.pop(request_id, None) is not None:
            self.simulation.record_caller_left(self.name, request_id)
            self.deliver(CallerLeft(request_id))

    def start(self) -> None:
        """Start the timer of the instance."""
        self._tick()

    def pause(self) -> None:
        """Pause the process; arriving data waits in its sockets."""
        self.is_paused = True

    def wake(self) -> None:
        """Let the process continue after a pause."""
        self.is_paused = False
        self.served_since_ms = self.simulation.heap.now_ms
        self._tick()
        closed_request_ids, self._closed_while_paused = self._closed_while_paused, []
        for request_id in closed_request_ids:
            self.simulation.heap.call_later(
                DISCONNECT_DETECTION_MS, self.caller_left, request_id
            )

    def jump_clock(self, jump_ms: float) -> None:
        """Move the clock forward, as after a suspend of the machine."""
        self.clock_ms += jump_ms

    def crash(self) -> None:
        """End the process, which breaks all of its connections."""
        self.is_up = False
        self._inputs.clear()
        for connection in list(self.connections.values()):
            connection.close()
        self.connections.clear()
        delay_ms = self.simulation.network.settings.client_ms
        for caller_connection in list(self.caller_connections.values()):
            self.simulation.heap.call_later(delay_ms, caller_connection.broken)
        self.caller_connections.clear()
        self.simulation.tier_monitor.remove_instance(self.name)

    def _process_inputs(self) -> None:
        if self._is_processing_inputs or self.is_paused:
            return
        self._is_processing_inputs = True
        while self._inputs and self.is_up:
            message = self._inputs.popleft()
            self._execute_actions(self._call_instance(self.instance.deliver, message))
        self._is_processing_inputs = False
        self._schedule_tick()

    def _tick(self) -> None:
        self._tick_due_ms = None
        if not self.is_up or self.is_paused:
            return
        self._is_processing_inputs = True
        self._execute_actions(self._call_instance(self.instance.tick))
        self._is_processing_inputs = False
        self._process_inputs()

    def _schedule_tick(self) -> None:
        heap = self.simulation.heap
        wait_ms = max(MIN_TICK_MS, self.instance.next_tick_ms - self.now_ms())
        due_ms = heap.now_ms + wait_ms
        if self._tick_due_ms is None or due_ms < self._tick_due_ms:
            self._tick_due_ms = due_ms
            heap.call_at(due_ms, self._tick_if_due, due_ms)

    def _tick_if_due(self, due_ms: float) -> None:
        if self._tick_due_ms == due_ms:
            self._tick()

    def _call_instance(
        self, method: Callable[..., list[Action]], *args: object
    ) -> list[Action]:
        """Call the instance; record an exception and continue, as the daemon does."""
        try:
            return method(*args, self.now_ms())
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f'{type(error).__name__} {error} in {frame.name}:{frame.lineno}'
            self.simulation.ledger.defects.append(f'{self.name}: {text}')
            return []

    def _execute_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)

    # -- endpoints

    def _start(self, start: StartAttempt) -> None:
        simulation = self.simulation
        endpoint = simulation.endpoints[start.endpoint]
        domain = self.failure_domain
        connection = Connection(
            simulation.heap, simulation.network, start, endpoint, domain, self._receive
        )
        self.connections[start.attempt_id] = connection
        simulation.record_start(self.name, start)
        if not simulation.network.is_reachable(domain, endpoint.failure_domain):
            simulation.heap.call_later(
                CONNECT_TIMEOUT_MS, connection.fail, False, False, 'connect timeout'
            )
            return
        if not endpoint.core.is_up:
            delay_ms = 2 * simulation.network.delay_ms(domain, endpoint.failure_domain)
            simulation.heap.call_later(
                delay_ms, connection.fail, False, False, 'refused'
            )
            return
        self._inputs.append(AttemptSent(start.attempt_id))
        if self._is_processing_inputs:
            simulation.heap.call_later(0, self._send_unless_cancelled, connection)
        else:
            self._process_inputs()
            self._send_unless_cancelled(connection)

    def _send_unless_cancelled(self, connection: Connection) -> None:
        if connection.is_open and self.is_up:
            self.simulation.record_sent(self.name, connection.start)
            connection.send_request()

    def _receive(self, connection: Connection, message: Input) -> None:
        if isinstance(message, AttemptEnded | AttemptFailed):
            connection.is_open = False
            self.connections.pop(connection.start.attempt_id, None)
        if isinstance(message, AttemptChunk | AttemptEnded):
            is_end = isinstance(message, AttemptEnded)
            self.simulation.record_answer(self.name, connection.start, is_end)
        self.deliver(message)

    def _cancel(self, cancel: CancelAttempt) -> None:
        connection = self.connections.pop(cancel.attempt_id, None)
        if connection is not None:
            self.simulation.record_cancel(
                self.name, connection.start, cancel.keep_stream
            )
            connection.cancel(cancel.keep_stream)

    def _poll(self, poll: PollEndpoint) -> None:
        simulation = self.simulation
        endpoint = simulation.endpoints.get(poll.endpoint)
        if endpoint is None:
            return
        if not simulation.network.is_reachable(
            self.failure_domain, endpoint.failure_domain
        ):
            return
        delay_ms = simulation.network.delay_ms(
            self.failure_domain, endpoint.failure_domain
        )
        simulation.heap.call_later(delay_ms, self._answer_poll, poll, delay_ms)

    def _answer_poll(self, poll: PollEndpoint, delay_ms: float) -> None:
        report = self.simulation.endpoints[poll.endpoint].poll(poll.cache_cursor)
        if report is not None:
            self.simulation.heap.call_later(delay_ms, self.deliver, report)

    def _order(self, order: SendOrder) -> None:
        simulation = self.simulation
        endpoint = simulation.endpoints[order.endpoint]
        delay_ms = simulation.network.delay_ms(
            self.failure_domain, endpoint.failure_domain
        )
        simulation.heap.call_later(delay_ms, self._execute_order, order, delay_ms)

    def _execute_order(self, order: SendOrder, delay_ms: float) -> None:
        simulation = self.simulation
        endpoint = simulation.endpoints[order.endpoint]
        outcome = 'refused'
        if isinstance(endpoint, EngineHost):
            engine_order = EngineOrder(
                order.verb, order.target, order.fencing, order.expected_state
            )
            try:
                outcome = endpoint.engine.order(engine_order, simulation.heap.now_ms)
            except EndpointDownError:
                outcome = 'unknown'
        finished = OrderFinished(order.order_id, order.endpoint, outcome)
        simulation.heap.call_later(delay_ms, self.deliver, finished)

    # -- other instances

    def _send_peer(self, send: SendPeer) -> None:
        simulation = self.simulation
        target = self._find_peer(send.host, send.peer_port)
        if target is None:
            return
        received = PeerReceived(self.name, send.message)
        if isinstance(send.message, StartNotice):
            simulation.reached(steps.ANNOUNCED, steps.ANY_CALL, self.name)
        for delay_ms in simulation.network.peer_delays(
            self.failure_domain, target.failure_domain
        ):
            simulation.heap.call_later(delay_ms, target.deliver, received)

    # -- callers

    def _start_response(self, response: StartResponse) -> None:
        caller_connection = self.caller_connections.get(response.request_id)
        if caller_connection is not None:
            self.simulation.tier_monitor.answer_started(self.name, response.request_id)
            self._send_to_caller(caller_connection.started, response)

    def _send_chunk(self, chunk: SendChunk) -> None:
        caller_connection = self.caller_connections.get(chunk.request_id)
        if caller_connection is not None:
            self._send_to_caller(caller_connection.received, chunk)

    def _finish(self, finish: FinishResponse) -> None:
        caller_connection = self.caller_connections.pop(finish.request_id, None)
        if caller_connection is not None:
            self._record_reported_outcome(caller_connection, finish)
            self._send_to_caller(caller_connection.finished, finish)

    def _refuse(self, refuse: RefuseRequest) -> None:
        caller_connection = self.caller_connections.pop(refuse.request_id, None)
        if caller_connection is not None:
            self._record_reported_outcome(caller_connection, refuse)
            self._send_to_caller(caller_connection.refused, refuse)

    def _record_reported_outcome(
        self,
        caller_connection: CallerConnection,
        message: FinishResponse | RefuseRequest,
    ) -> None:
        simulation = self.simulation
        reported = ReportedOutcome(
            simulation.heap.now_ms,
            self.name,
            message.request_id,
            caller_connection.call.call_id,
            message.code,
            message.ran,
        )
        simulation.record_reported_outcome(reported)

    def _send_to_caller(self, function: Callable[..., None], message: object) -> None:
        self.simulation.heap.call_later(
            self.simulation.network.settings.client_ms, function, message
        )
