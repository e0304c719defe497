"""A complete instance without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute import inputs
from savorychute.actions import CancelAttempt
from savorychute.errors import RequestError
from savorychute.instance.attempt_desk import AttemptDesk
from savorychute.instance.departure import Departure
from savorychute.instance.dispatcher import Dispatcher
from savorychute.instance.explanations import Explanations
from savorychute.instance.housekeeping import Housekeeping
from savorychute.instance.intake import Intake
from savorychute.instance.key_desk import KeyDesk
from savorychute.instance.log_desk import LogDesk
from savorychute.instance.operator_desk import OperatorDesk
from savorychute.instance.parts import assemble_parts
from savorychute.instance.peer_desk import PeerDesk
from savorychute.instance.queue_desk import QueueDesk
from savorychute.instance.responder import Responder
from savorychute.instance.status import describe_status
from savorychute.instance.timers import Timers
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
    """All parts assembled; a host drives it and carries out its actions.

    Nothing here blocks, sleeps or reads a clock: time comes in as ``now_ms``,
    which must never go back.

    :param settings: the settings of every part.
    :param address: who and where the instance is.
    :param rng: the seeded source of every random choice.
    """

    def __init__(
        self, settings: InstanceSettings, address: MemberAddress, rng: random.Random
    ) -> None:
        self.address = address
        self._settings = settings
        self._rng = rng
        self._parts = assemble_parts(settings, address, rng)
        self.events = self._parts.events
        self._assemble_desks()
        self._receivers = self._list_receivers()
        self._housekeeping_ms = 0
        self._pumped_ms = 0

    @property
    def next_tick_ms(self) -> int:
        """When :meth:`tick` wants to be called next."""
        due_ms = min(self._housekeeping_ms, self._parts.keys.next_due_ms())
        if self._parts.admission.pools():
            due_ms = min(due_ms, self._pumped_ms + self._settings.pump_period_ms)
        return due_ms

    @property
    def ready(self) -> bool:
        """Whether callers may be served."""
        return self._parts.configuration.ready and not self._departure.has_begun

    @property
    def idle(self) -> bool:
        """Whether no request is in progress."""
        return len(self._parts.table) == 0

    def deliver(self, message: Input, now_ms: int) -> list[Action]:
        """Take in something that happened.

        :param message: one of :mod:`savorychute.inputs`.
        :returns: what the host is to do, in this order.
        """
        return self._receivers[type(message)](message, now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Do what is due by time; call it at :attr:`next_tick_ms` or later."""
        if now_ms >= self._housekeeping_ms:
            self._housekeeping_ms = now_ms + self._settings.tick_period_ms
            actions = self._housekeeping.tick(now_ms)
            actions += self._departure.tick(now_ms)
            actions += self._timers.check(now_ms)
        else:
            actions = self._housekeeping.tick_keys(now_ms)
        return actions + self._pump_all(now_ms)

    def discover(self, token: str) -> DiscoveryAnswer:
        """Return which instances the caller should use.

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
        """Return a request key whose one run this instance decides.

        :param token: the caller's bearer token.
        :raises RequestError: ``NOT_READY`` or ``UNAUTHENTICATED``.
        """
        self._authenticate(token)
        view = self._parts.membership.view()
        return self._parts.keys.issuer.issue(view, now_ms)

    def status(self, now_ms: int) -> StatusDocument:
        """Return the instance's state in figures."""
        return describe_status(self._parts, now_ms)

    def _assemble_desks(self) -> None:
        parts = self._parts
        explanations = Explanations(self._settings.explained_requests)
        responder = Responder(parts, explanations)
        key_desk = KeyDesk(parts, responder)
        responder.connect(key_desk.follow)
        queue_desk = QueueDesk(parts, responder)
        self._departure = Departure(parts, responder)
        self._dispatcher = Dispatcher(parts, key_desk, queue_desk)
        self._intake = Intake(
            parts,
            responder,
            self._dispatcher,
            key_desk,
            queue_desk,
            self._departure,
        )
        key_desk.connect(self._intake.enqueue, self._dispatcher.send)
        self._attempt_desk = AttemptDesk(parts, responder, self._dispatcher, queue_desk)
        self._operator_desk = OperatorDesk(parts, explanations)
        self._peer_desk = PeerDesk(parts, key_desk)
        self._log_desk = LogDesk(parts, key_desk)
        self._timers = Timers(parts, responder, self._attempt_desk, queue_desk)
        self._housekeeping = Housekeeping(parts, key_desk)
        self._responder = responder

    def _list_receivers(self) -> dict[type, Callable[..., list[Action]]]:
        attempts = self._attempt_desk
        return {
            inputs.AppendFinished: self._log_desk.note_append,
            inputs.AttemptChunk: attempts.pass_chunk,
            inputs.AttemptEnded: attempts.end,
            inputs.AttemptFailed: attempts.fail,
            inputs.AttemptPaused: attempts.note_paused,
            inputs.AttemptSent: attempts.note_sent,
            inputs.AttemptStarted: attempts.note_started,
            inputs.CallerLeft: self._drop_caller,
            inputs.CallerRequest: self._intake.receive,
            inputs.ListingFetched: self._housekeeping.note_listing,
            inputs.LoadReported: self._housekeeping.note_load,
            inputs.OperatorCommand: self._operator_desk.receive,
            inputs.OrderFinished: self._housekeeping.note_order,
            inputs.PeerReceived: self._receive_peer,
            inputs.RecordsRead: self._receive_records,
            inputs.ShutdownRequested: self._shut_down,
        }

    def _receive_peer(self, received: inputs.PeerReceived, now_ms: int) -> list[Action]:
        actions = self._peer_desk.receive(received, now_ms)
        self._housekeeping.follow_configuration(now_ms)
        if self._parts.admission.pools():
            actions += self._pump_all(now_ms)
        return actions

    def _receive_records(self, read: inputs.RecordsRead, now_ms: int) -> list[Action]:
        actions = self._log_desk.note_records(read, now_ms)
        self._housekeeping.follow_configuration(now_ms)
        return actions

    def _drop_caller(self, left: inputs.CallerLeft, now_ms: int) -> list[Action]:
        """Stop the work for a caller that is gone; it would be wasted."""
        tracked = self._parts.table.find(left.request_id)
        if tracked is None:
            return []
        attempt = tracked.attempt
        if tracked.holds_key and attempt is not None and attempt.sent:
            # The one run that the key permits goes on: the caller may ask for
            # its outcome again under the same key, and gets it then.
            tracked.caller_left = True
            return []
        actions: list[Action] = []
        if attempt is not None:
            tracked.wasted_tokens += attempt.tokens
            actions.append(CancelAttempt(attempt.attempt_id))
        actions += self._responder.drop(tracked, 'caller left', now_ms)
        return actions + self._dispatcher.pump(tracked.pool, now_ms)

    def _shut_down(
        self, _request: inputs.ShutdownRequested, now_ms: int
    ) -> list[Action]:
        """Leave: nothing new is taken, everything in progress is finished."""
        return self._departure.begin(now_ms)

    def _pump_all(self, now_ms: int) -> list[Action]:
        self._pumped_ms = now_ms
        actions: list[Action] = []
        for pool in self._parts.admission.pools():
            actions += self._dispatcher.pump(pool, now_ms)
        return actions

    def _authenticate(self, token: str) -> OrganisationLimits:
        if not self._parts.configuration.ready:
            raise RequestError(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning)
        limits = self._parts.directory.find_organisation(token)
        if limits is None:
            code = ResultCode.UNAUTHENTICATED
            raise RequestError(code, code.meaning)
        return limits
