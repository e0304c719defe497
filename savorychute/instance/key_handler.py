"""Non-idempotent requests and what their keys permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import FinishResponse, SendChunk, StartResponse
from savorychute.errors import RequestError
from savorychute.ran import Ran
from savorychute.requests import (
    KeyGranted,
    KeyRedirect,
    KeyRefused,
    KeyReplay,
    StartDenied,
    StartPermitted,
)
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import Action
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


class KeyHandler:
    """Turns the decisions of the key manager into a request's next step.

    :param parts: the parts of the instance.
    :param responder: ends requests whose key does not permit a run.
    """

    def __init__(self, parts: InstanceParts, responder: Responder) -> None:
        self._parts = parts
        self._responder = responder
        self._enqueue: Callable[[TrackedRequest, int], list[Action]] | None = None
        self._send: Callable[[TrackedRequest, int], list[Action]] | None = None

    def set_next_steps(
        self,
        enqueue: Callable[[TrackedRequest, int], list[Action]],
        send: Callable[[TrackedRequest, int], list[Action]],
    ) -> None:
        """Set the functions that are called after a permission.

        :param enqueue: puts a request whose key permits a run into the queue.
        :param send: starts the attempt of a request whose start is permitted.
        """
        self._enqueue = enqueue
        self._send = send

    def admit(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Ask the key manager whether the request's key permits a run."""
        view = self._parts.membership.view()
        try:
            outcomes = self._parts.keys.admit(
                tracked.request_id,
                tracked.request.key,
                tracked.fingerprint,
                view,
                now_ms,
            )
        except RequestError as error:
            return self._responder.give_up(tracked, error.code, error.message, now_ms)
        return self.handle_outcomes(outcomes, now_ms)

    def notify_witness(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Notify the key's witness that the request is about to start."""
        attempt = tracked.attempt
        if attempt is None:
            return []
        outcomes = self._parts.keys.announce_start(
            tracked.request_id,
            attempt.endpoint,
            attempt.stream_id,
            self._parts.membership.view(),
            now_ms,
        )
        return self.handle_outcomes(outcomes, now_ms)

    def handle_outcomes(self, outcomes: Sequence[object], now_ms: int) -> list[Action]:
        """Carry out the outcomes that the key manager returned.

        :param outcomes: outcomes of the key manager, mixed with actions for the host.
        """
        actions: list[Action] = []
        for outcome in outcomes:
            actions += self._handle_outcome(outcome, now_ms)
        return actions

    def _handle_outcome(self, outcome: object, now_ms: int) -> list[Action]:
        if isinstance(outcome, KeyGranted):
            return self._handle_granted(outcome, now_ms)
        if isinstance(outcome, StartPermitted):
            return self._run_next_step(outcome.request_id, now_ms, self._send)
        if isinstance(outcome, KeyRedirect):
            return self._redirect(outcome, now_ms)
        if isinstance(outcome, KeyReplay):
            return self._replay(outcome, now_ms)
        if isinstance(outcome, KeyRefused | StartDenied):
            return self._refuse(outcome, now_ms)
        return [outcome]  # type: ignore[list-item]

    def _handle_granted(self, outcome: KeyGranted, now_ms: int) -> list[Action]:
        tracked = self._parts.request_table.find(outcome.request_id)
        if tracked is None:
            # The caller left while the witness or the log was queried.
            code = ResultCode.CALLER_LEFT
            settlement_outcomes = self._parts.keys.settle_not_run(
                outcome.request_id, now_ms, code
            )
            return self.handle_outcomes(settlement_outcomes, now_ms)
        tracked.holds_key = True
        tracked.lifecycle.mark_key_decided()
        return self._run_next_step(outcome.request_id, now_ms, self._enqueue)

    def _run_next_step(
        self,
        request_id: str,
        now_ms: int,
        step: Callable[[TrackedRequest, int], list[Action]] | None,
    ) -> list[Action]:
        tracked = self._parts.request_table.find(request_id)
        if tracked is None or step is None:
            return []
        return step(tracked, now_ms)

    def _redirect(self, outcome: KeyRedirect, now_ms: int) -> list[Action]:
        tracked = self._parts.request_table.find(outcome.request_id)
        if tracked is None:
            return []
        address = outcome.address
        return self._responder.give_up(
            tracked,
            ResultCode.WRONG_INSTANCE,
            f'{address.instance} decides this key',
            now_ms,
            ran=Ran.UNKNOWN,
            location=f'{address.host}:{address.caller_port}',
        )

    def _refuse(self, outcome: KeyRefused | StartDenied, now_ms: int) -> list[Action]:
        tracked = self._parts.request_table.find(outcome.request_id)
        if tracked is None:
            return []
        if outcome.ran is Ran.NOT_RUN:
            tracked.lifecycle.mark_key_decided()
        return self._responder.give_up(
            tracked, outcome.code, outcome.message, now_ms, ran=outcome.ran
        )

    def _replay(self, outcome: KeyReplay, now_ms: int) -> list[Action]:
        """Send the response of a key's single run to a further caller."""
        tracked = self._parts.request_table.find(outcome.request_id)
        if tracked is None:
            return []
        # A stored stream is sent again as one event.
        token_count = 1 if tracked.request.stream else 0
        head = StartResponse(
            request_id=tracked.request_id,
            status=outcome.status,
            attempt_id='',
            endpoint='',
            handle='',
            content_type=outcome.content_type,
        )
        self._responder.close_replay(tracked, now_ms)
        return [
            head,
            SendChunk(tracked.request_id, 0, outcome.body, token_count),
            FinishResponse(tracked.request_id),
        ]
