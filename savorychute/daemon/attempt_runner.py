"""Runs attempts at endpoints over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.daemon.naming_table import NamingTable
from savorychute.daemon.running_attempt import RunningAttempt
from savorychute.endpoints import DIALECTS
from savorychute.errors import UnknownVariantError
from savorychute.http.client_pool import ServerAddress
from savorychute.http.timed_call import submit_timed
from savorychute.inputs import AttemptFailed, AttemptPaused

if TYPE_CHECKING:
    from savorychute.actions import CancelAttempt, StartAttempt
    from savorychute.daemon.host_port import HostPort
    from savorychute.http.client_call import ClientCall
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_request import HttpRequest

CANCEL_TIMEOUT_MS = 2_000
PAUSE_REPORT_INTERVAL_MS = 250
CLOSE_HEADER = ('connection', 'close')


class AttemptRunner:
    """Starts, cancels, pauses and resumes attempts.

    :param host: receives the inputs for the instance.
    :param pool: the connections to endpoints.
    """

    def __init__(self, host: HostPort, pool: ClientPool) -> None:
        self._host = host
        self._pool = pool
        self._naming = NamingTable()
        self._next_report_ms = 0
        self._attempts: dict[str, RunningAttempt] = {}
        self._by_request: dict[str, RunningAttempt] = {}

    @property
    def in_progress(self) -> int:
        """Number of attempts that have not ended."""
        return len(self._attempts)

    def start(self, start: StartAttempt) -> None:
        """Send an attempt to its endpoint.

        :param start: describes the attempt.
        """
        try:
            dialect = DIALECTS.get(start.dialect)
            forwarded = self._host.responses.forwarded_headers(start.request_id)
            request = dialect.build_attempt(start, forwarded)
        except (UnknownVariantError, msgspec.MsgspecError) as error:
            self._host.deliver(_describe_unsent(start, str(error)))
            return
        attempt = RunningAttempt(start, dialect, self._host, self._naming, self._remove)
        self._attempts[start.attempt_id] = attempt
        self._by_request[start.request_id] = attempt
        attempt.call = self._submit(attempt, request)
        attempt.start_timer()
        if self._host.responses.is_paused(start.request_id):
            attempt.pause()

    def cancel(self, cancel: CancelAttempt) -> None:
        """Cancel an attempt; the instance receives no more inputs about it.

        The connection is aborted first.  An engine that was asked to keep the
        stream after a lost connection is then notified whether to keep it.

        :param cancel: the attempt, and whether its stream is kept.
        """
        attempt = self._attempts.get(cancel.attempt_id)
        if attempt is None:
            return
        sent = attempt.stop()
        if not sent:
            return
        start = attempt.start
        request = attempt.dialect.build_cancel(start, cancel.keep_stream)
        if request is not None:
            submit_timed(
                self._pool,
                ServerAddress(start.host, start.port),
                request,
                CANCEL_TIMEOUT_MS,
                lambda response: None,  # noqa: ARG005
                lambda failure: None,  # noqa: ARG005
            )

    def forwarded_headers(self, attempt_id: str) -> tuple[tuple[str, str], ...]:
        """Return the endpoint's headers that are forwarded to the caller.

        :param attempt_id: the attempt whose response is forwarded.
        """
        attempt = self._attempts.get(attempt_id)
        return () if attempt is None else attempt.forwarded_headers

    def pause(self, request_id: str) -> None:
        """Stop reading a request's response, so that its engine waits.

        :param request_id: the request whose caller reads too slowly.
        """
        attempt = self._by_request.get(request_id)
        if attempt is not None:
            attempt.pause()

    def resume(self, request_id: str) -> None:
        """Resume reading a request's response.

        :param request_id: the request whose caller reads again.
        """
        attempt = self._by_request.get(request_id)
        if attempt is not None:
            attempt.resume()

    def report_paused(self, now_ms: int) -> None:
        """Report periodically to the instance which responses wait for their caller.

        :param now_ms: the current time of the host.
        """
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + PAUSE_REPORT_INTERVAL_MS
        paused = [each for each in self._attempts.values() if each.paused]
        for attempt in paused:
            self._host.deliver(AttemptPaused(attempt.start.attempt_id))

    def _submit(self, attempt: RunningAttempt, request: HttpRequest) -> ClientCall:
        """Send a request, over a used connection only where responses name theirs."""
        start = attempt.start
        address = ServerAddress(start.host, start.port)
        is_naming = self._naming.find(address)
        if is_naming is False:
            request = request.with_headers((*request.headers, CLOSE_HEADER))
        return self._pool.submit(
            address,
            request,
            attempt,
            fresh=attempt.dialect.needs_fresh_connection(start),
            unused=not is_naming,
        )

    def _remove(self, attempt: RunningAttempt) -> None:
        start = attempt.start
        self._attempts.pop(start.attempt_id, None)
        if self._by_request.get(start.request_id) is attempt:
            del self._by_request[start.request_id]


def _describe_unsent(start: StartAttempt, reason: str) -> AttemptFailed:
    return AttemptFailed(
        attempt_id=start.attempt_id,
        sent=False,
        refused=False,
        leaving=False,
        crashed=False,
        reason=reason,
    )
