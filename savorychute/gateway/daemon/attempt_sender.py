"""Sends attempts over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoint_telemetry import CallKind
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.requests.endpoint_response import ResponseKind
from savorychute.http.timed_call import submit_timed

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.endpoints.statement_book import StatementBook
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.permits.permit_desk import PermitDesk
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.attempt_port import AttemptListener
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_call import ClientCall
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_response import HttpResponse

# A report needs no place in the batch; from a living engine it takes a few ms.
PROBE_TIMEOUT_MS = 250
# Answers that come from another run than the one that was meant.
OTHERS_ANSWERS = frozenset({ResponseKind.OTHER_ENDPOINT, ResponseKind.FOREIGN})


class AttemptSender:
    """Turns attempts into calls of the pool, and hears what endpoints say of themselves.

    :param pool: the connections to endpoints.
    :param adapter: how endpoints speak.
    :param statements: what endpoints say of themselves.
    :param permits: for endpoints that take only so many calls.
    :param telemetry: is told of calls to endpoints that state limits.
    :param clock: the time.
    """

    def __init__(
        self,
        pool: ClientPool,
        adapter: PlatformAdapter,
        statements: StatementBook,
        permits: PermitDesk,
        telemetry: EndpointTelemetry,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._adapter = adapter
        self._statements = statements
        self._permits = permits
        self._telemetry = telemetry
        self._clock = clock

    def send(self, attempt: OutboundAttempt, listener: AttemptListener) -> ClientCall:
        """Start an attempt.

        :param attempt: what to send.
        :param listener: who is told of the answer.
        """
        request = self._adapter.encode_attempt(attempt)
        handler = _AnswerHandler(self, self._adapter, self._clock, attempt, listener)
        return self._pool.submit(
            attempt.endpoint.address, request, handler, fresh=attempt.fresh
        )

    def probe(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
        permit: Permit | None = None,
    ) -> None:
        """Ask an engine for its load.

        :param endpoint: the engine.
        :param on_result: called with its report, or None without one in time.
        :param permit: for an engine that states a limit.
        """
        sent_ms = self._clock.now_ms()

        def may_send() -> bool:
            nonlocal sent_ms
            sent_ms = self._clock.now_ms()
            return self.may_send(endpoint, permit, CallKind.REPORT)

        def take(response: HttpResponse) -> None:
            load = self._adapter.decode_report(response)
            run = endpoint.run
            if load is not None and load.born_ms and run.born_ms:
                run = EndpointRun(run.endpoint, load.born_ms)
            self.hear(run, response.status, response.headers, sent_ms)
            on_result(load)

        submit_timed(
            self._pool,
            endpoint.address,
            self._adapter.encode_probe(),
            PROBE_TIMEOUT_MS,
            take,
            lambda failure: on_result(None),  # noqa: ARG005
            may_send,
        )

    def may_send(
        self,
        endpoint: EndpointEntry,
        permit: Permit | None,
        kind: CallKind,
        request_id: str = '',
    ) -> bool:
        """Return whether an endpoint still takes a call, right before its first byte.

        :param endpoint: where it goes.
        :param permit: that it has.
        :param kind: what it is for.
        :param request_id: the request that it belongs to, or empty.
        """
        run, now_ms = endpoint.run, self._clock.now_ms()
        if kind is CallKind.ATTEMPT and run in self._statements.leaving:
            return False
        if self._statements.rests.left_ms(run, now_ms):
            return False
        if not self._permits.may_send(run, permit, now_ms):
            return False
        limit_per_s = self._statements.limits.limit_per_s(run)
        if limit_per_s is not None:
            self._telemetry.limited_call(endpoint, kind, limit_per_s, request_id)
        return True

    def hear(
        self, run: EndpointRun, status: int, headers: dict[str, str], sent_ms: int
    ) -> None:
        """Take in what an endpoint says of itself.

        :param run: the run that answered.
        :param status: of its answer.
        :param headers: of its answer.
        :param sent_ms: when the call was sent.
        """
        statement = self._adapter.decode_statement(status, headers)
        for unreadable in statement.unreadable:
            self._telemetry.statement_unreadable(run, unreadable)
        self._statements.take(run, statement, sent_ms, self._clock.now_ms())


class _AnswerHandler:
    """Decodes the head of an answer on its way to the listener."""

    def __init__(
        self,
        sender: AttemptSender,
        adapter: PlatformAdapter,
        clock: Clock,
        attempt: OutboundAttempt,
        listener: AttemptListener,
    ) -> None:
        self._sender = sender
        self._adapter = adapter
        self._clock = clock
        self._attempt = attempt
        self._listener = listener
        self._sent_ms = 0

    def about_to_send(self) -> bool:
        """Ask whether the attempt is still wanted."""
        attempt = self._attempt
        may_send = self._sender.may_send(
            attempt.endpoint,
            attempt.permit,
            CallKind.ATTEMPT,
            attempt.request.attempt_id,
        )
        if not may_send:
            self._listener.attempt_withheld()
            return False
        self._sent_ms = self._clock.now_ms()
        return self._listener.can_send()

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Pass on what the head says."""
        answer = self._adapter.decode_answer(status, headers, self._attempt)
        if answer.kind not in OTHERS_ANSWERS:
            run = self._attempt.endpoint.run
            self._sender.hear(run, status, headers, self._sent_ms)
        self._listener.response_started(answer)

    def response_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._listener.response_data(data)

    def response_ended(self) -> None:
        """Pass on the end."""
        self._listener.response_ended()

    def call_failed(self, failure: CallFailure) -> None:
        """Pass on the failure."""
        self._listener.attempt_failed(failure)
