"""Records what the ends of attempts show about their endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.crash_check import CrashCheck
    from savorychute.gateway.requests.endpoint_response import EndpointResponse

# Ends of an attempt that an endpoint's crash may have caused.
LOSS_REASONS = ('connection-lost', 'event-cut', 'empty-answer')


class LossObserver:
    """Finds out which endpoints crashed on a request, and which survived it.

    :param parts: state and ports shared by all requests.
    :param crash_check: collects the evidence of the request.
    """

    def __init__(self, parts: GatewayParts, crash_check: CrashCheck) -> None:
        self._parts = parts
        self._crash_check = crash_check

    def record_completion(self, attempt: Attempt, response: EndpointResponse) -> None:
        """Record that the endpoint survived the request, if its response shows that.

        The connection of a response without a length or chunks ends also when the
        endpoint crashes.

        :param attempt: the attempt that is complete.
        :param response: the head of its response.
        """
        if attempt.survived:
            return
        run, now_ms = attempt.choice.record.entry.run, self._now_ms()
        if response.is_delimited:
            self._crash_check.record_success(run, now_ms)
            return
        if not response.is_stream:
            return

        def count_loss() -> None:
            self._crash_check.record_loss(run, now_ms)
            self._endpoint_unreachable(run)

        self._parts.attempts.check_path(attempt.choice.record.entry, count_loss)

    def record_loss(self, attempt: Attempt) -> None:
        """Record a lost attempt, and find out whether its endpoint has crashed.

        :param attempt: the attempt.
        """
        if attempt.survived:
            return
        entry = attempt.choice.record.entry
        self._crash_check.record_loss(entry.run, self._now_ms())
        self._parts.attempts.check_path(
            entry, lambda: self._endpoint_unreachable(entry.run)
        )

    def record_silence(self, attempt: Attempt) -> None:
        """Record an attempt that was abandoned because its endpoint sent nothing.

        :param attempt: the attempt, which is closed.
        """
        record = attempt.choice.record
        record.health.record_unresponsive(self._now_ms())
        self._parts.attempts.check_path(record.entry)
        if attempt.sent:
            self._crash_check.record_loss(record.entry.run, self._now_ms())

    def _endpoint_unreachable(self, run: EndpointRun) -> None:
        if not self._parts.paths.is_isolated:
            self._parts.crashes.endpoint_ended(run, self._now_ms())

    def _now_ms(self) -> int:
        return self._parts.clock.now_ms()
