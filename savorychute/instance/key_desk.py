"""Non-idempotent requests: what their keys permit."""

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
    from savorychute.instance.parts import Parts
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


class KeyDesk:
    """Turn what the key keeper decides into the request's next step.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts, responder: Responder) -> None:
        self._parts = parts
        self._responder = responder
        self._enqueue: Callable[[TrackedRequest, int], list[Action]] | None = None
        self._send: Callable[[TrackedRequest, int], list[Action]] | None = None

    def connect(
        self,
        enqueue: Callable[[TrackedRequest, int], list[Action]],
        send: Callable[[TrackedRequest, int], list[Action]],
    ) -> None:
        """Say what follows a permission.

        :param enqueue: puts a request whose key may run into the queue.
        :param send: starts the attempt of a request whose start is permitted.
        """
        self._enqueue = enqueue
        self._send = send

    def admit(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Ask whether the request's key permits a run."""
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
        return self.follow(outcomes, now_ms)

    def announce(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Tell the key's witness that the request is about to start."""
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
        return self.follow(outcomes, now_ms)

    def follow(self, outcomes: Sequence[object], now_ms: int) -> list[Action]:
        """Carry out what the key keeper returned.

        :param outcomes: its outcomes, mixed with actions for the host.
        """
        actions: list[Action] = []
        for outcome in outcomes:
            actions += self._follow_one(outcome, now_ms)
        return actions

    def _follow_one(self, outcome: object, now_ms: int) -> list[Action]:
        if isinstance(outcome, KeyGranted):
            return self._permit(outcome, now_ms)
        if isinstance(outcome, StartPermitted):
            return self._run(outcome.request_id, now_ms, self._send)
        if isinstance(outcome, KeyRedirect):
            return self._redirect(outcome, now_ms)
        if isinstance(outcome, KeyReplay):
            return self._replay(outcome, now_ms)
        if isinstance(outcome, KeyRefused | StartDenied):
            return self._refuse(outcome, now_ms)
        return [outcome]  # type: ignore[list-item]

    def _permit(self, outcome: KeyGranted, now_ms: int) -> list[Action]:
        tracked = self._parts.table.find(outcome.request_id)
        if tracked is None:
            # The caller left while the witness or the log was asked.
            code = ResultCode.CALLER_LEFT
            settled = self._parts.keys.settle_not_run(outcome.request_id, now_ms, code)
            return self.follow(settled, now_ms)
        tracked.holds_key = True
        tracked.life.mark_key_decided()
        return self._run(outcome.request_id, now_ms, self._enqueue)

    def _run(
        self,
        request_id: str,
        now_ms: int,
        step: Callable[[TrackedRequest, int], list[Action]] | None,
    ) -> list[Action]:
        tracked = self._parts.table.find(request_id)
        if tracked is None or step is None:
            return []
        return step(tracked, now_ms)

    def _redirect(self, outcome: KeyRedirect, now_ms: int) -> list[Action]:
        tracked = self._parts.table.find(outcome.request_id)
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
        tracked = self._parts.table.find(outcome.request_id)
        if tracked is None:
            return []
        if outcome.ran is Ran.NOT_RUN:
            tracked.life.mark_key_decided()
        return self._responder.give_up(
            tracked, outcome.code, outcome.message, now_ms, ran=outcome.ran
        )

    def _replay(self, outcome: KeyReplay, now_ms: int) -> list[Action]:
        """Give a further caller of the same key the answer of its one run."""
        tracked = self._parts.table.find(outcome.request_id)
        if tracked is None:
            return []
        # A stream that is kept goes out again as one event.
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
