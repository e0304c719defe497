"""The host that connects an instance to asyncio and its sockets."""

from __future__ import annotations

import asyncio
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
from savorychute.daemon.attempt_runner import AttemptRunner
from savorychute.daemon.caller_responses import CallerResponses
from savorychute.daemon.engine_control import EngineControl
from savorychute.daemon.operator_handler import OperatorHandler
from savorychute.daemon.platform_runner import PlatformRunner
from savorychute.inputs import AttemptChunk, ShutdownRequested

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import Action
    from savorychute.clock import Clock
    from savorychute.daemon.host_settings import HostSettings
    from savorychute.daemon.hosted_instance import HostedInstance
    from savorychute.daemon.metrics_text import MetricsText
    from savorychute.daemon.peer_link import PeerLink
    from savorychute.daemon.tls import TlsKeys
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_server import HttpServer
    from savorychute.inputs import Input
    from savorychute.member_address import MemberAddress

MS_PER_S = 1_000
MIN_TICK_MS = 1
MAX_TICK_MS = 100
DRAIN_CHECK_S = 0.02


class DaemonHost:
    """Delivers inputs to an instance and executes its actions.

    :param instance: the assembled instance.
    :param address: the identity and address of the instance.
    :param settings: the timeouts.
    :param clock: the clock that the instance uses.
    :param pool: the connections to endpoints and the platform.
    :param peers: the link to other instances.
    :param server: the HTTP server for callers.
    """

    def __init__(
        self,
        instance: HostedInstance,
        address: MemberAddress,
        settings: HostSettings,
        clock: Clock,
        pool: ClientPool,
        peers: PeerLink,
        server: HttpServer,
    ) -> None:
        self.instance = instance
        self.address = address
        self.settings = settings
        self.clock = clock
        self.server = server
        self.peers = peers
        self.leaving = False
        self.tls: TlsKeys | None = None
        self.metrics: Callable[[str], MetricsText] | None = None
        self.responses = CallerResponses(self)
        self.operators = OperatorHandler(self)
        self.attempts = AttemptRunner(self, pool)
        self._platform = PlatformRunner(self, pool)
        self._engines = EngineControl(self, pool)
        self._inputs: deque[Input] = deque()
        self._processing = False
        self._stopped = False
        self._timer: asyncio.TimerHandle | None = None
        self._tick_due_ms = 0
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            AppendRecord: self._platform.append,
            CancelAttempt: self.attempts.cancel,
            FetchListing: self._platform.fetch_listing,
            FinishResponse: self.responses.finish,
            OperatorReply: self.operators.reply,
            PollEndpoint: self._engines.poll,
            ReadRecords: self._platform.read,
            RefuseRequest: self.responses.refuse,
            SendChunk: self.responses.send,
            SendOrder: self._engines.order,
            SendPeer: peers.send,
            StartAttempt: self.attempts.start,
            StartResponse: self.responses.start,
        }

    @property
    def scheme(self) -> str:
        """The URL scheme of the addresses of instances."""
        return 'http' if self.tls is None else 'https'

    def render_metrics(self, accept: str) -> MetricsText | None:
        """Return the rendered metrics, or None if no metrics are collected.

        :param accept: the content types that the caller accepts.
        """
        return None if self.metrics is None else self.metrics(accept)

    def deliver(self, new_input: Input) -> None:
        """Deliver an input to the instance and execute the resulting actions.

        An action may produce the next input at once.  That input is queued until all
        actions of the previous one are executed, so the actions are executed in
        the order in which the instance returned them.

        :param new_input: the input.
        """
        if self._stopped:
            return
        self._inputs.append(new_input)
        if self._processing:
            return
        self._processing = True
        only_chunks = True
        try:
            while self._inputs:
                next_input = self._inputs.popleft()
                only_chunks = only_chunks and type(next_input) is AttemptChunk
                self._perform(self.instance.deliver(next_input, self.clock.now_ms()))
        finally:
            self._processing = False
        # Tokens cause nothing that is due before the scheduled tick, and querying the
        # next due time for each of them would cost more than forwarding the token.
        if not only_chunks:
            self._schedule_tick()

    def start(self) -> None:
        """Start ticking."""
        self._tick()

    def stop(self) -> None:
        """Stop ticking and accept no more inputs.

        Connections that are aborted from now on are aborted by the host itself; they
        say nothing about callers or endpoints.
        """
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    async def drain(self) -> None:
        """Shut down gracefully: finish all requests, however long they take.

        Callers that still have this address get responses until their discovery
        responses have expired; the instance redirects them.  A request that is
        still being read when the listener closes gets a response too; the time for
        reading it is limited.
        """
        self.leaving = True
        self.deliver(ShutdownRequested())
        self.server.closing = True
        earliest_ms = self.clock.now_ms() + self.settings.leave_grace_ms
        while self.responses.in_progress or self.clock.now_ms() < earliest_ms:
            await asyncio.sleep(DRAIN_CHECK_S)
        self.server.stop_listening()
        while self.responses.in_progress or self.server.open_connections:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_CHECK_S)

    def _perform(self, actions: Sequence[Action]) -> None:
        """Execute actions; one that raises does not prevent the others.

        The others may be the final responses to callers that are not related to the
        failed action.
        """
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception as error:
                self._report_error(error, f'{type(action).__name__} failed')

    def _tick(self) -> None:
        """Tick the instance; after a tick that raises, another one is scheduled."""
        self._timer = None
        now_ms = self.clock.now_ms()
        try:
            self.attempts.report_paused(now_ms)
            self._perform(self.instance.tick(now_ms))
        except Exception as error:
            self._report_error(error, 'tick failed')
            self._retry_tick()
        else:
            self._schedule_tick()

    def _report_error(self, error: Exception, message: str) -> None:
        context = {'message': message, 'exception': error}
        asyncio.get_running_loop().call_exception_handler(context)

    def _retry_tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._tick_due_ms = self.clock.now_ms() + MAX_TICK_MS
        self._timer = loop.call_later(MAX_TICK_MS / MS_PER_S, self._tick)

    def _schedule_tick(self) -> None:
        due_ms = self.instance.next_tick_ms
        if self._processing or (
            self._timer is not None and due_ms >= self._tick_due_ms
        ):
            return
        self._tick_due_ms = due_ms
        wait_ms = due_ms - self.clock.now_ms()
        wait_ms = min(max(wait_ms, MIN_TICK_MS), MAX_TICK_MS)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + wait_ms / MS_PER_S
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._tick)
