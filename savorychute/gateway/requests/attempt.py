"""One attempt of a request and the response of its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.requests.caller_guard import promises_not_run
from savorychute.gateway.requests.endpoint_response import ResponseKind

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.requests.attempt_port import RunningAttempt
    from savorychute.gateway.requests.endpoint_response import EndpointResponse
    from savorychute.http.call_failure import CallFailure

# A response up to this size is buffered until it is complete, so that another endpoint
# can be tried if it breaks off; a larger success is forwarded as it arrives.
MAX_BUFFERED_BYTES = 256 * 1024
# Parts are joined beyond this number, as each takes memory besides its bytes.
MAX_BUFFERED_PARTS = 2_048
# An endpoint that still sends events this long after the first one did not crash on it.
SURVIVAL_MS = 500


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def now_ms(self) -> int:
        """Return the current time."""
        ...

    def handle_stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of a stream."""
        ...

    def attempt_ended(self, attempt: Attempt) -> None:
        """Handle the end of an attempt, whatever its outcome."""
        ...

    def can_retry(self) -> bool:
        """Return whether a failure of the current attempt may be retried."""
        ...

    def forward_head(self, attempt: Attempt) -> None:
        """Start to forward a response that is too large to be buffered."""
        ...

    def forward_data(self, data: bytes) -> None:
        """Forward a further part of the response body."""
        ...

    @property
    def has_begun_stream(self) -> bool:
        """Whether the caller has received an event of a stream."""
        ...

    def may_hold(self, size_bytes: int) -> bool:
        """Return whether there is memory to hold a further part of a response."""
        ...

    def attempt_unsent(self, attempt: Attempt, reason: str) -> None:
        """Continue after an attempt that failed before any byte was sent."""
        ...

    def attempt_withheld(self, attempt: Attempt) -> None:
        """Continue after an attempt not sent, as its endpoint no longer accepts it."""
        ...

    def attempt_interrupted(self, attempt: Attempt, reason: str) -> None:
        """Continue after an attempt that may have run and has no complete response."""
        ...

    def may_send(self) -> bool:
        """Return whether the request may still be sent to an endpoint."""
        ...

    def verdict_changed(self, attempt: Attempt) -> None:
        """Reconsider whether an attempt may go on, as a verdict has changed."""
        ...

    def attempt_stalled(self) -> None:
        """Handle that the current attempt waits on a connection that hangs."""
        ...

    def attempt_completed(self, attempt: Attempt) -> None:
        """Handle a complete response."""
        ...


class Attempt:
    """Buffers a response, or passes the parts of a stream to the owner.

    :param owner: the request that the attempt belongs to.
    :param choice: the endpoint, and the tokens it is expected to process.
    :param started_ms: when the attempt was started.
    """

    __slots__ = (
        '_has_data',
        'buffered',
        'buffered_bytes',
        'choice',
        'continues_run',
        'ended',
        'first_event_ms',
        'forwarding',
        'is_rejected',
        'last_received_ms',
        'owner',
        'response',
        'running',
        'sent',
        'sent_ms',
        'started_ms',
        'survived',
        'waiting',
    )

    def __init__(self, owner: AttemptOwner, choice: Choice, started_ms: int) -> None:
        self.owner = owner
        self.choice = choice
        self.started_ms = started_ms
        self.last_received_ms = started_ms
        self.running: RunningAttempt | None = None
        self.response: EndpointResponse | None = None
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.forwarding = False
        self.sent = False
        # Whether its endpoint has stated that it did not run it.
        self.is_rejected = False
        self.sent_ms = started_ms
        self.ended = False
        self.waiting = True
        # Whether it continues a run of another attempt from its memory.
        self.continues_run = False
        self.first_event_ms: int | None = None
        self.survived = False
        self._has_data = False
        choice.record.start_attempt(
            self,
            choice.fresh_tokens,
            started_ms,
            rank=choice.rank,
            latency_sensitive=choice.latency_sensitive,
        )

    # -- events from the endpoint

    def can_send(self) -> bool:
        """Record the time of the send, and return whether the attempt is still wanted."""
        if not self.owner.may_send():
            self.attempt_withheld()
            return False
        self.sent = True
        self.sent_ms = self.owner.now_ms()
        return True

    def attempt_withheld(self) -> None:
        """Close the attempt without sending it."""
        if self.ended:
            return
        self.close()
        self.owner.attempt_withheld(self)

    def response_started(self, response: EndpointResponse) -> None:
        """Handle the head of the response."""
        self.response = response
        self.last_received_ms = self.owner.now_ms()
        self.choice.record.last_contact_ms = self.last_received_ms
        if response.kind is ResponseKind.FOREIGN:
            # The body belongs to another request; the connection must not be reused.
            self.stop()
            self.owner.attempt_interrupted(self, 'foreign-answer')
            return
        is_body = response.kind is ResponseKind.SUCCESS and not response.is_stream
        if is_body and self.owner.has_begun_stream:
            # Its body would be appended to the events that the caller has.
            self.stop()
            self.owner.attempt_interrupted(self, 'no-stream')

    def response_data(self, data: bytes) -> None:
        """Handle a part of the response body."""
        if self.response is None or self.ended:
            return
        self._has_data = True
        self.last_received_ms = self.owner.now_ms()
        self.choice.record.last_contact_ms = self.last_received_ms
        if self.response.is_stream:
            self.owner.handle_stream_data(self, data)
            return
        if self.forwarding:
            self.owner.forward_data(data)
            return
        self.buffered.append(data)
        self.buffered_bytes += len(data)
        if len(self.buffered) > MAX_BUFFERED_PARTS:
            self.buffered = [b''.join(self.buffered)]
        is_too_large = self.buffered_bytes > MAX_BUFFERED_BYTES
        if is_too_large or not self.owner.may_hold(len(data)):
            self._stop_buffering(self.response)

    def _stop_buffering(self, response: EndpointResponse) -> None:
        """Forward a large response, unless another endpoint may do better."""
        has_part = self.continues_run or self.owner.has_begun_stream
        may_forward = not has_part and not self.owner.can_retry()
        is_failure = response.kind is ResponseKind.FAILURE
        is_promise = promises_not_run(response.status)
        is_final = is_failure and may_forward and not is_promise
        if response.kind is ResponseKind.SUCCESS or is_final:
            self.forwarding = True
            self.choice.record.large_responses += 1
            self.owner.forward_head(self)
            return
        self.stop()
        if is_failure and not is_promise:
            self.owner.attempt_interrupted(self, 'body-too-large')
        else:
            # The head decides what follows; the body is not used.
            self.owner.attempt_completed(self)

    def response_ended(self) -> None:
        """Handle the end of a complete response."""
        if self.ended:
            return
        if self.forwarding:
            self.choice.record.has_ended_large = True
        self.close()
        self.owner.attempt_completed(self)

    def attempt_failed(self, failure: CallFailure) -> None:
        """Handle a failure of the call."""
        if self.ended:
            return
        self.sent = failure.sent
        self.close()
        if failure.too_large:
            self.owner.attempt_interrupted(self, 'response-too-large')
        elif failure.sent:
            self.owner.attempt_interrupted(self, 'connection-lost')
        else:
            self.owner.attempt_unsent(self, failure.reason)

    def endpoint_run_ended(self) -> None:
        """Interrupt the attempt: its endpoint restarted and can no longer respond."""
        if self.ended:
            return
        self.stop()
        if self.sent:
            self.owner.attempt_interrupted(self, 'connection-lost')
        else:
            self.owner.attempt_withheld(self)

    def crash_verdict_changed(self) -> None:
        """Let the request reconsider an attempt that has not begun to respond."""
        if not self.ended and self.waiting:
            self.owner.verdict_changed(self)

    def endpoint_path_lost(self) -> None:
        """Let the request reconsider how long it waits for this attempt."""
        if not self.ended and self.path_lost:
            self.owner.attempt_stalled()

    # -- calls from the request

    @property
    def is_empty(self) -> bool:
        """Whether the endpoint has sent no byte of a body."""
        return not self._has_data

    @property
    def is_receiving_body(self) -> bool:
        """Whether a part of a response that is no stream has arrived."""
        response = self.response
        return self._has_data and response is not None and not response.is_stream

    @property
    def path_lost(self) -> bool:
        """Whether the path to the endpoint was lost after the attempt was sent."""
        return self.running is not None and self.running.path_lost

    @property
    def via(self) -> str:
        """The instance through which the attempt was sent; empty for none."""
        return self.running.via if self.running is not None else ''

    def record_event(self, now_ms: int) -> bool:
        """Record an event; return true once, when the endpoint has survived the attempt.

        An endpoint that crashes on a request does so as it begins to respond.

        :param now_ms: the current time.
        """
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        if self.survived or now_ms - self.first_event_ms < SURVIVAL_MS:
            return False
        self.survived = True
        return True

    def mark_responding(self) -> None:
        """Record the first event of the response, or the end of the attempt."""
        if self.waiting:
            self.waiting = False
            self.choice.record.end_prefill(self)

    def stop(self) -> None:
        """Close the connection, so that the endpoint stops working on the request."""
        if self.ended:
            return
        self.close()
        if self.running is not None:
            self.running.cancel()

    def close(self) -> None:
        """Mark the attempt as ended and remove it from its endpoint's record."""
        self.ended = True
        self.owner.attempt_ended(self)
        self.mark_responding()
        self.choice.record.large_responses -= self.forwarding
        self.choice.record.end_attempt(self)
