"""A complete instance without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute import inputs
from savorychute.actions import CancelAttempt
from savorychute.errors import RequestError
from savorychute.instance.attempt_handler import AttemptHandler
from savorychute.instance.dispatcher import Dispatcher
from savorychute.instance.explanations import Explanations
from savorychute.instance.graceful_shutdown import GracefulShutdown
from savorychute.instance.intake import Intake
from savorychute.instance.key_handler import KeyHandler
from savorychute.instance.log_result_handler import LogResultHandler
from savorychute.instance.operator_command_handler import OperatorCommandHandler
from savorychute.instance.parts import assemble_parts
from savorychute.instance.peer_message_handler import PeerMessageHandler
from savorychute.instance.periodic_tasks import PeriodicTasks
from savorychute.instance.queue_handler import QueueHandler
from savorychute.instance.request_timeouts import RequestTimeouts
from savorychute.instance.responder import Responder
from savorychute.instance.status import describe_status
from savorychute.membership.discovery import answer_discovery
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.actions import Action
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.inputs import Input
    from savorychute.instance.instance_settings import InstanceSettings
    from savorychute.instance.status import StatusDocument
    from savorychute.member_address import MemberAddress
    from savorychute.membership.discovery import DiscoveryAnswer

    Receiver = Callable[[object, int], list[Action]]


class Instance:
    """All parts of an instance; a host drives it and carries out its actions.

    The instance never blocks, sleeps or reads a clock: the host passes the time
    as ``now_ms``, which must never go back.

    :param settings: the settings of all parts.
    :param address: the name and address of the instance.
    :param rng: the seeded generator behind every random choice.
    """

    def __init__(
        self, settings: InstanceSettings, address: MemberAddress, rng: random.Random
    ) -> None:
        self.address = address
        self._settings = settings
        self._rng = rng
        self._parts = assemble_parts(settings, address, rng)
        self.events = self._parts.events
        self._assemble_handlers()
        self._receivers = self._map_receivers()
        self._periodic_tasks_due_ms = 0
        self._last_dispatch_ms = 0

    @property
    def next_tick_ms(self) -> int:
        """The time at which :meth:`tick` is due next."""
        due_ms = min(self._periodic_tasks_due_ms, self._parts.keys.next_due_ms())
        if self._parts.admission.pools():
            due_ms = min(due_ms, self._last_dispatch_ms + self._settings.pump_period_ms)
        return due_ms

    @property
    def ready(self) -> bool:
        """Whether the instance can serve callers."""
        return self._parts.configuration.ready and not self._shutdown.has_started

    @property
    def idle(self) -> bool:
        """Whether no request is in progress."""
        return len(self._parts.request_table) == 0

    def deliver(self, message: Input, now_ms: int) -> list[Action]:
        """Handle an input from the host.

        :param message: one of :mod:`savorychute.inputs`.
        :returns: the actions for the host, to be carried out in this order.
        """
        return self._receivers[type(message)](message, now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Do the work that is due; call it at :attr:`next_tick_ms` or later."""
        if now_ms >= self._periodic_tasks_due_ms:
            self._periodic_tasks_due_ms = now_ms + self._settings.tick_period_ms
            actions = self._periodic_tasks.tick(now_ms)
            actions += self._shutdown.tick(now_ms)
            actions += self._request_timeouts.check(now_ms)
        else:
            actions = self._periodic_tasks.tick_keys(now_ms)
        return actions + self._dispatch_all(now_ms)

    def discover(self, token: str) -> DiscoveryAnswer:
        """Return the instances that the caller should use.

        :param token: the caller's bearer token.
        :raises RequestError: ``NOT_READY`` or ``UNAUTHENTICATED``.
        """
        limits = self._authenticate(token)
        return answer_discovery(
            limits.organisation,
            self._parts.membership.view(),
            self._settings.discovery,
            self._rng,
            limits.seats,
            self._parts.membership.peer_loads(),
        )

    def issue_key(self, token: str, now_ms: int) -> str:
        """Return a request key whose single run this instance decides.

        :param token: the caller's bearer token.
        :raises RequestError: ``NOT_READY`` or ``UNAUTHENTICATED``.
        """
        self._authenticate(token)
        view = self._parts.membership.view()
        return self._parts.keys.issuer.issue(view, now_ms)

    def status(self, now_ms: int) -> StatusDocument:
        """Return the status figures of the instance."""
        return describe_status(self._parts, now_ms)

    def _assemble_handlers(self) -> None:
        parts = self._parts
        explanations = Explanations(self._settings.explained_requests)
        responder = Responder(parts, explanations)
        key_handler = KeyHandler(parts, responder)
        responder.set_key_outcome_handler(key_handler.handle_outcomes)
        queue_handler = QueueHandler(parts, responder)
        self._shutdown = GracefulShutdown(parts, responder)
        self._dispatcher = Dispatcher(parts, key_handler, queue_handler)
        self._intake = Intake(
            parts,
            responder,
            self._dispatcher,
            key_handler,
            queue_handler,
            self._shutdown,
        )
        key_handler.set_next_steps(self._intake.enqueue, self._dispatcher.send)
        self._attempt_handler = AttemptHandler(
            parts, responder, self._dispatcher, queue_handler
        )
        self._operator_command_handler = OperatorCommandHandler(parts, explanations)
        self._peer_message_handler = PeerMessageHandler(parts, key_handler)
        self._log_result_handler = LogResultHandler(parts, key_handler)
        self._request_timeouts = RequestTimeouts(
            parts, responder, self._attempt_handler, queue_handler
        )
        self._periodic_tasks = PeriodicTasks(parts, key_handler)
        self._responder = responder

    def _map_receivers(self) -> dict[type, Callable[..., list[Action]]]:
        attempts = self._attempt_handler
        return {
            inputs.AppendFinished: self._log_result_handler.handle_finished_append,
            inputs.AttemptChunk: attempts.handle_chunk,
            inputs.AttemptEnded: attempts.end,
            inputs.AttemptFailed: attempts.fail,
            inputs.AttemptPaused: attempts.record_paused,
            inputs.AttemptSent: attempts.record_sent,
            inputs.AttemptStarted: attempts.record_started,
            inputs.CallerLeft: self._handle_caller_left,
            inputs.CallerRequest: self._intake.receive,
            inputs.ListingFetched: self._periodic_tasks.handle_listing,
            inputs.LoadReported: self._periodic_tasks.handle_load_report,
            inputs.OperatorCommand: self._operator_command_handler.receive,
            inputs.OrderFinished: self._periodic_tasks.handle_finished_order,
            inputs.PeerReceived: self._receive_peer,
            inputs.RecordsRead: self._receive_records,
            inputs.ShutdownRequested: self._start_shutdown,
        }

    def _receive_peer(self, received: inputs.PeerReceived, now_ms: int) -> list[Action]:
        actions = self._peer_message_handler.receive(received, now_ms)
        self._periodic_tasks.apply_configuration(now_ms)
        if self._parts.admission.pools():
            actions += self._dispatch_all(now_ms)
        return actions

    def _receive_records(self, read: inputs.RecordsRead, now_ms: int) -> list[Action]:
        actions = self._log_result_handler.handle_records(read, now_ms)
        self._periodic_tasks.apply_configuration(now_ms)
        return actions

    def _handle_caller_left(self, left: inputs.CallerLeft, now_ms: int) -> list[Action]:
        """Cancel the work for a caller that has left."""
        tracked = self._parts.request_table.find(left.request_id)
        if tracked is None:
            return []
        attempt = tracked.attempt
        if tracked.holds_key and attempt is not None and attempt.sent:
            # The single run that the key permits continues: the caller may
            # send the same key again and then gets the outcome of this run.
            tracked.caller_left = True
            return []
        actions: list[Action] = []
        if attempt is not None:
            tracked.wasted_tokens += attempt.tokens
            actions.append(CancelAttempt(attempt.attempt_id))
        actions += self._responder.drop(tracked, 'caller left', now_ms)
        return actions + self._dispatcher.dispatch_pool(tracked.pool, now_ms)

    def _start_shutdown(
        self, _request: inputs.ShutdownRequested, now_ms: int
    ) -> list[Action]:
        """Start to shut down: refuse new requests, finish those in progress."""
        return self._shutdown.start(now_ms)

    def _dispatch_all(self, now_ms: int) -> list[Action]:
        self._last_dispatch_ms = now_ms
        actions: list[Action] = []
        for pool in self._parts.admission.pools():
            actions += self._dispatcher.dispatch_pool(pool, now_ms)
        return actions

    def _authenticate(self, token: str) -> OrganisationLimits:
        if not self._parts.configuration.ready:
            raise RequestError(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning)
        limits = self._parts.directory.find_organisation(token)
        if limits is None:
            code = ResultCode.UNAUTHENTICATED
            raise RequestError(code, code.meaning)
        return limits
