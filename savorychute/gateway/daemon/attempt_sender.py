"""Sends attempts over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoint_telemetry import CallKind
from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
from savorychute.gateway.moves.move_call import CopyOutcome, CopyResult
from savorychute.gateway.requests.endpoint_response import (
    Disbelief,
    Naming,
    ResponseKind,
)
from savorychute.gateway.requests.response_trust import UnvouchedAddresses, is_vouched
from savorychute.http.timed_call import submit_timed

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.endpoints.statement_table import StatementTable
    from savorychute.gateway.moves.move_call import CopyOrder
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.permits.permit_handler import PermitHandler
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.attempt_port import AttemptListener
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_call import ClientCall
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_response import HttpResponse

# A load report needs no slot in the engine's batch; a live engine sends it in a few ms.
PROBE_TIMEOUT_MS = 250
MAX_REPORT_BYTES = 1024 * 1024
# A copy that was not freed expires, so nothing waits for this call.
RELEASE_TIMEOUT_MS = 1_000
# Kinds of responses from another run than the intended one.
OTHER_RUN_KINDS = frozenset({ResponseKind.OTHER_ENDPOINT, ResponseKind.FOREIGN})


class AttemptSender:
    """Sends attempts as HTTP calls, and records what endpoints state about themselves.

    :param pool: the connections to endpoints.
    :param adapter: translates the endpoints' protocol.
    :param statements: records what endpoints state about themselves.
    :param permits: grants calls to endpoints that state a limit.
    :param telemetry: logs calls to endpoints that state a limit.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        pool: ClientPool,
        adapter: PlatformAdapter,
        statements: StatementTable,
        permits: PermitHandler,
        telemetry: EndpointTelemetry,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._adapter = adapter
        self._statements = statements
        self._permits = permits
        self._telemetry = telemetry
        self._clock = clock
        self._unnamed = UnvouchedAddresses()
        # Engines whose reports stated more than a load.
        self._repeated_reports = UnvouchedAddresses()

    def send(self, attempt: OutboundAttempt, listener: AttemptListener) -> ClientCall:
        """Start an attempt.

        :param attempt: the attempt to send.
        :param listener: receives the response.
        """
        request = self._adapter.encode_attempt(attempt)
        handler = _ResponseHandler(self, self._adapter, self._clock, attempt, listener)
        handler.call = self._pool.submit(
            attempt.endpoint.address,
            request,
            handler,
            fresh=attempt.fresh,
            unused=attempt.repeated or self._needs_new_connection(attempt),
        )
        return handler.call

    def _needs_new_connection(self, attempt: OutboundAttempt) -> bool:
        """Return whether the response may bear no id, by which it would be known."""
        address, now_ms = attempt.endpoint.address, self._clock.now_ms()
        return not attempt.request.attempt_id or self._unnamed.needs_new_connection(
            address, now_ms
        )

    def record_unnamed(self, attempt: OutboundAttempt, call: ClientCall) -> None:
        """Record a response that bears no id.

        It says nothing on the endpoint if the request had none either.

        :param attempt: the attempt that it arrived for.
        :param call: the call of the attempt.
        """
        if attempt.request.attempt_id:
            self._unnamed.record(attempt.endpoint.address, self._clock.now_ms())
        call.retire_connection()

    def probe(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
        permit: Permit | None = None,
    ) -> None:
        """Request an engine's load report.

        A report names no request.  On a connection that carried other calls it may be a
        late response, so only a load is taken from it; anything else it states is asked
        for again over a new connection, as are its reports for a while.  An engine that
        states a limit states it in each report, so its reports always use new ones.

        :param endpoint: the engine.
        :param on_result: called with its load, or None if no report arrives in time.
        :param permit: permit for an engine that states a limit.
        """
        is_limited = self._statements.limits.limit(endpoint.run) is not None
        unused = is_limited or self._repeated_reports.needs_new_connection(
            endpoint.address, self._clock.now_ms()
        )
        self._request_report(endpoint, on_result, permit, unused=unused)

    def _request_report(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
        permit: Permit | None,
        *,
        unused: bool,
    ) -> None:
        sent_ms = self._clock.now_ms()

        def can_send() -> bool:
            nonlocal sent_ms
            sent_ms = self._clock.now_ms()
            return self.can_send(endpoint, permit, CallKind.REPORT)

        def handle_response(response: HttpResponse) -> None:
            load = self._adapter.decode_report(response)
            run = endpoint.run
            if call.calls_before:
                if self._is_plain_load(endpoint, load, response, call):
                    on_result(load)
                    return
                self.count_disbelief(endpoint, Disbelief.UNNAMED)
                call.retire_connection()
                self._repeated_reports.record(endpoint.address, self._clock.now_ms())
                self._request_report(endpoint, on_result, permit, unused=True)
                return
            if load is not None and load.born_ms and run.born_ms:
                run = EndpointRun(run.endpoint, load.born_ms)
            self.record_statement(run, response.status, response.headers, sent_ms)
            on_result(load)

        def handle_failure(failure: CallFailure) -> None:
            if failure.sent:
                self.check_path(endpoint)
            on_result(None)

        call = submit_timed(
            self._pool,
            endpoint.address,
            self._adapter.encode_probe(),
            PROBE_TIMEOUT_MS,
            handle_response,
            handle_failure,
            can_send,
            MAX_REPORT_BYTES,
            self._foreign_check(endpoint),
            unused=unused,
        )

    def _is_plain_load(
        self,
        endpoint: EndpointEntry,
        load: EngineLoad | None,
        response: HttpResponse,
        call: ClientCall,
    ) -> bool:
        """Return whether a report states a load and nothing else."""
        if load is None or load.leaving or call.was_followed:
            return False
        if load.born_ms and endpoint.born_ms not in (0, load.born_ms):
            return False
        statement = self._adapter.decode_statement(response.status, response.headers)
        return statement == EndpointStatement()

    def copy(
        self,
        endpoint: EndpointEntry,
        order: CopyOrder,
        timeout_ms: int,
        on_result: Callable[[CopyResult], None],
        permit: Permit | None = None,
    ) -> None:
        """Copy the memory of a run to another engine.

        :param endpoint: the engine that runs it.
        :param order: the run, and where to copy its memory.
        :param timeout_ms: time limit until the copy is complete.
        :param on_result: called once, after this method has returned.
        :param permit: permit for an engine that states a limit.
        """

        def handle_response(response: HttpResponse) -> None:
            on_result(self._adapter.decode_copy(response))

        def handle_failure(failure: CallFailure) -> None:
            outcome = CopyOutcome.LOST if failure.sent else CopyOutcome.UNSENT
            on_result(CopyResult(outcome))

        submit_timed(
            self._pool,
            endpoint.address,
            self._adapter.encode_copy(order),
            timeout_ms,
            handle_response,
            handle_failure,
            lambda: self.can_send(endpoint, permit, CallKind.COPY, order.attempt_id),
            is_foreign=self._foreign_check(endpoint),
            unused=True,
        )

    def release(
        self, endpoint: EndpointEntry, handle: str, permit: Permit | None = None
    ) -> None:
        """Free a copy.

        :param endpoint: the engine that made the copy.
        :param handle: the name of the copy.
        :param permit: permit for an engine that states a limit.
        """
        submit_timed(
            self._pool,
            endpoint.address,
            self._adapter.encode_release(handle),
            RELEASE_TIMEOUT_MS,
            lambda response: None,  # noqa: ARG005
            lambda failure: None,  # noqa: ARG005
            lambda: self.can_send(endpoint, permit, CallKind.COPY),
            is_foreign=self._foreign_check(endpoint),
        )

    def check_path(
        self,
        endpoint: EndpointEntry,
        on_unreachable: Callable[[], None] | None = None,
    ) -> None:
        """Check whether new connections to an unresponsive endpoint can be opened.

        A kept connection that hangs looks like an endpoint that hangs.

        :param endpoint: the endpoint.
        :param on_unreachable: called if no connection can be opened by any path.
        """
        self._pool.prepare(endpoint.address, on_unreachable)

    def can_send(
        self,
        endpoint: EndpointEntry,
        permit: Permit | None,
        kind: CallKind,
        request_id: str = '',
    ) -> bool:
        """Return whether a call may be sent, right before its first byte.

        :param endpoint: the endpoint to call.
        :param permit: the permit of the call, if it has one.
        :param kind: the purpose of the call.
        :param request_id: the request that the call belongs to, or empty.
        """
        run, now_ms = endpoint.run, self._clock.now_ms()
        if kind is CallKind.ATTEMPT and run in self._statements.leaving:
            return False
        if self._statements.backoffs.remaining_ms(run, now_ms):
            return False
        if not self._permits.can_send(run, permit, now_ms):
            return False
        limit_per_s = self._statements.limits.limit_per_s(run)
        if limit_per_s is not None:
            self._telemetry.limited_call(endpoint, kind, limit_per_s, request_id)
        return True

    def count_disbelief(self, endpoint: EndpointEntry, disbelief: Disbelief) -> None:
        """Count a response that is not believed.

        :param endpoint: the endpoint that was called.
        :param disbelief: the reason.
        """
        self._telemetry.response_disbelieved(endpoint, disbelief)

    def _foreign_check(
        self, endpoint: EndpointEntry
    ) -> Callable[[dict[str, str]], bool]:
        """Return a check of the response to a call that belongs to no request."""

        def is_foreign(headers: dict[str, str]) -> bool:
            if not self._adapter.names_request(headers):
                return False
            self.count_disbelief(endpoint, Disbelief.OTHER_REQUEST)
            return True

        return is_foreign

    def record_statement(
        self, run: EndpointRun, status: int, headers: dict[str, str], sent_ms: int
    ) -> None:
        """Record what an endpoint states about itself in a response.

        :param run: the run that responded.
        :param status: status of the response.
        :param headers: headers of the response.
        :param sent_ms: when the call was sent.
        """
        statement = self._adapter.decode_statement(status, headers)
        for unreadable in statement.unreadable:
            self._telemetry.statement_unreadable(run, unreadable)
        self._statements.apply(run, statement, sent_ms, self._clock.now_ms())


class _ResponseHandler:
    """Decodes the head of a response and passes the response to the listener."""

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
        self.call: ClientCall | None = None

    def about_to_send(self) -> bool:
        """Return whether the attempt may still be sent."""
        attempt = self._attempt
        can_send = self._sender.can_send(
            attempt.endpoint,
            attempt.permit,
            CallKind.RETURN if attempt.returns_to_source else CallKind.ATTEMPT,
            attempt.request.attempt_id,
        )
        if not can_send:
            self._listener.attempt_withheld()
            return False
        self._sent_ms = self._clock.now_ms()
        return self._listener.can_send()

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Decode the head, and pass it on."""
        response = self._adapter.decode_response(status, headers, self._attempt)
        call = self.call
        assert call is not None
        if response.naming is Naming.NONE:
            self._sender.record_unnamed(self._attempt, call)
        if response.disbelief is None and not is_vouched(
            response.naming, call.calls_before
        ):
            response = response.disbelieve(Disbelief.UNNAMED)
        if response.disbelief is not None:
            self._sender.count_disbelief(self._attempt.endpoint, response.disbelief)
        if response.kind not in OTHER_RUN_KINDS:
            run = self._attempt.endpoint.run
            self._sender.record_statement(run, status, headers, self._sent_ms)
        self._listener.response_started(response)

    def response_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._listener.response_data(data)

    def response_ended(self) -> None:
        """Pass on the end of the response."""
        self._listener.response_ended()

    def call_failed(self, failure: CallFailure) -> None:
        """Pass on the failure."""
        self._listener.attempt_failed(failure)
