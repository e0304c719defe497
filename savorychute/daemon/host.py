"""The loop around an instance."""

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
from savorychute.daemon.caller_answers import CallerAnswers
from savorychute.daemon.engine_control import EngineControl
from savorychute.daemon.operator_answers import OperatorAnswers
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
SHORTEST_TICK_MS = 1
LONGEST_TICK_MS = 100
DRAIN_CHECK_S = 0.02


class DaemonHost:
    """Delivers inputs to an instance and carries out its actions.

    :param instance: the parts, assembled.
    :param address: who and where the instance is.
    :param settings: timeouts.
    :param clock: the time that the instance is told.
    :param pool: connections to endpoints and platform.
    :param peers: the link to other instances.
    :param server: the listener towards callers.
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
        self.answers = CallerAnswers(self)
        self.operators = OperatorAnswers(self)
        self.attempts = AttemptRunner(self, pool)
        self._platform = PlatformRunner(self, pool)
        self._engines = EngineControl(self, pool)
        self._inputs: deque[Input] = deque()
        self._draining = False
        self._stopped = False
        self._timer: asyncio.TimerHandle | None = None
        self._tick_due_ms = 0
        self._performers: dict[type, Callable[[Any], None]] = {
            AppendRecord: self._platform.append,
            CancelAttempt: self.attempts.cancel,
            FetchListing: self._platform.fetch_listing,
            FinishResponse: self.answers.finish,
            OperatorReply: self.operators.reply,
            PollEndpoint: self._engines.poll,
            ReadRecords: self._platform.read,
            RefuseRequest: self.answers.refuse,
            SendChunk: self.answers.send,
            SendOrder: self._engines.order,
            SendPeer: peers.send,
            StartAttempt: self.attempts.start,
            StartResponse: self.answers.start,
        }

    @property
    def scheme(self) -> str:
        """The scheme by which callers reach instances."""
        return 'http' if self.tls is None else 'https'

    def render_metrics(self, accept: str) -> MetricsText | None:
        """Return the metrics, or none if none are kept.

        :param accept: the content types that the caller takes.
        """
        return None if self.metrics is None else self.metrics(accept)

    def deliver(self, delivered: Input) -> None:
        """Give an input to the instance and carry out what it asks for.

        An action may bring about the next input at once; that input waits
        until all actions of the one before are carried out, so the instance
        sees its own actions done in the order in which it gave them.

        :param delivered: the input.
        """
        if self._stopped:
            return
        self._inputs.append(delivered)
        if self._draining:
            return
        self._draining = True
        only_chunks = True
        try:
            while self._inputs:
                first = self._inputs.popleft()
                only_chunks = only_chunks and type(first) is AttemptChunk
                self._perform(self.instance.deliver(first, self.clock.now_ms()))
        finally:
            self._draining = False
        # Tokens bring nothing that is due before the tick that is planned, and
        # asking for each of them what is due would cost more than passing it on.
        if not only_chunks:
            self._schedule_tick()

    def start(self) -> None:
        """Begin to tick."""
        self._tick()

    def stop(self) -> None:
        """End ticking and take no more inputs.

        Connections that are cut from here on are the host's own doing and no
        news of callers or endpoints.
        """
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    async def drain(self) -> None:
        """Leave: finish what is in progress, however long it takes.

        Callers that still have this address are answered until their
        discovery answers have run out; the instance sends them elsewhere.  A
        request that is still being read when the listener closes is answered
        too; how long its reading may take is bounded.
        """
        self.leaving = True
        self.deliver(ShutdownRequested())
        self.server.closing = True
        earliest_ms = self.clock.now_ms() + self.settings.leave_grace_ms
        while self.answers.in_progress or self.clock.now_ms() < earliest_ms:
            await asyncio.sleep(DRAIN_CHECK_S)
        self.server.stop_listening()
        while self.answers.in_progress or self.server.open_connections:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_CHECK_S)

    def _perform(self, actions: Sequence[Action]) -> None:
        """Carry out actions; one that raises does not keep back the others.

        Among them may be the final answers of callers that have nothing to do
        with the one that failed.
        """
        for action in actions:
            try:
                self._performers[type(action)](action)
            except Exception as error:
                self._report(error, f'{type(action).__name__} failed')

    def _tick(self) -> None:
        """Let time pass; a tick that raises must not be the last one."""
        self._timer = None
        now_ms = self.clock.now_ms()
        try:
            self.attempts.report_paused(now_ms)
            self._perform(self.instance.tick(now_ms))
        except Exception as error:
            self._report(error, 'tick failed')
            self._retry_tick()
        else:
            self._schedule_tick()

    def _report(self, error: Exception, message: str) -> None:
        context = {'message': message, 'exception': error}
        asyncio.get_running_loop().call_exception_handler(context)

    def _retry_tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._tick_due_ms = self.clock.now_ms() + LONGEST_TICK_MS
        self._timer = loop.call_later(LONGEST_TICK_MS / MS_PER_S, self._tick)

    def _schedule_tick(self) -> None:
        due_ms = self.instance.next_tick_ms
        if self._draining or (self._timer is not None and due_ms >= self._tick_due_ms):
            return
        self._tick_due_ms = due_ms
        wait_ms = due_ms - self.clock.now_ms()
        wait_ms = min(max(wait_ms, SHORTEST_TICK_MS), LONGEST_TICK_MS)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + wait_ms / MS_PER_S
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._tick)
