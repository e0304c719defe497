"""Sends attempts over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.http.timed_call import submit_timed

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.requests.attempt_port import AttemptListener
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_call import ClientCall
    from savorychute.http.client_pool import ClientPool

# A report needs no place in the batch; from a living engine it takes a few ms.
PROBE_TIMEOUT_MS = 250


class AttemptSender:
    """Turns attempts into calls of the pool.

    :param pool: the connections to endpoints.
    :param adapter: how endpoints speak.
    """

    def __init__(self, pool: ClientPool, adapter: PlatformAdapter) -> None:
        self._pool = pool
        self._adapter = adapter

    def send(self, attempt: OutboundAttempt, listener: AttemptListener) -> ClientCall:
        """Start an attempt.

        :param attempt: what to send.
        :param listener: who is told of the answer.
        """
        request = self._adapter.encode_attempt(attempt)
        handler = _AnswerHandler(self._adapter, attempt, listener)
        return self._pool.submit(
            attempt.endpoint.address, request, handler, fresh=attempt.fresh
        )

    def probe(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
    ) -> None:
        """Ask an engine for its load.

        :param endpoint: the engine.
        :param on_result: called with its report, or None without one in time.
        """
        submit_timed(
            self._pool,
            endpoint.address,
            self._adapter.encode_probe(),
            PROBE_TIMEOUT_MS,
            lambda response: on_result(self._adapter.decode_report(response)),
            lambda failure: on_result(None),  # noqa: ARG005
        )


class _AnswerHandler:
    """Decodes the head of an answer on its way to the listener."""

    def __init__(
        self,
        adapter: PlatformAdapter,
        attempt: OutboundAttempt,
        listener: AttemptListener,
    ) -> None:
        self._adapter = adapter
        self._attempt = attempt
        self._listener = listener

    def about_to_send(self) -> bool:
        """Ask whether the attempt is still wanted."""
        return self._listener.may_send()

    def response_started(self, status: int, headers: dict[str, str]) -> None:
        """Pass on what the head says."""
        answer = self._adapter.decode_answer(status, headers, self._attempt)
        self._listener.answer_began(answer)

    def response_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._listener.answer_data(data)

    def response_ended(self) -> None:
        """Pass on the end."""
        self._listener.answer_ended()

    def call_failed(self, failure: CallFailure) -> None:
        """Pass on the failure."""
        self._listener.attempt_failed(failure)
