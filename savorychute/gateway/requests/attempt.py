"""One attempt of a request, as its endpoint answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.requests.endpoint_answer import AnswerKind

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.requests.attempt_port import RunningAttempt
    from savorychute.gateway.requests.endpoint_answer import EndpointAnswer
    from savorychute.http.call_failure import CallFailure

# An answer up to this size is held until it is whole, so that another endpoint can
# take over if it breaks off; a larger one is passed on as it comes.
HELD_BYTES = 256 * 1024


class AttemptOwner(Protocol):
    """The request that an attempt belongs to."""

    def now_ms(self) -> int:
        """Return the time."""
        ...

    def stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Take a part of a stream."""
        ...

    def attempt_ended(self, attempt: Attempt) -> None:
        """Take in that nothing more comes of an attempt."""
        ...

    def pass_head(self, attempt: Attempt) -> None:
        """Begin to pass on an answer that is too large to be held."""
        ...

    def pass_data(self, data: bytes) -> None:
        """Pass on more of it."""
        ...

    def attempt_unsent(self, attempt: Attempt, reason: str) -> None:
        """Go on after an attempt of which no byte has left."""
        ...

    def attempt_withheld(self, attempt: Attempt) -> None:
        """Go on after an attempt that was not sent: its endpoint takes it no longer."""
        ...

    def attempt_broke(self, attempt: Attempt, reason: str) -> None:
        """Go on after an attempt that may have run and has no whole answer."""
        ...

    def attempt_answered(self, attempt: Attempt) -> None:
        """Take a whole answer."""
        ...


class Attempt:
    """Collects an answer, or hands on the parts of a stream.

    :param owner: the request that it belongs to.
    :param choice: the endpoint, and what it is expected to read.
    :param began_ms: when it was started.
    """

    __slots__ = (
        'answer',
        'began_ms',
        'choice',
        'ended',
        'heard_ms',
        'held',
        'held_bytes',
        'owner',
        'passing',
        'running',
        'sent',
        'sent_ms',
        'waiting',
    )

    def __init__(self, owner: AttemptOwner, choice: Choice, began_ms: int) -> None:
        self.owner = owner
        self.choice = choice
        self.began_ms = began_ms
        self.heard_ms = began_ms
        self.running: RunningAttempt | None = None
        self.answer: EndpointAnswer | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.passing = False
        self.sent = False
        self.sent_ms = began_ms
        self.ended = False
        self.waiting = True
        choice.record.start_attempt(
            self,
            choice.fresh_tokens,
            began_ms,
            rank=choice.rank,
            latency_sensitive=choice.latency_sensitive,
        )

    # -- what the endpoint does

    def may_send(self) -> bool:
        """Return whether the attempt is still wanted."""
        self.sent = True
        self.sent_ms = self.owner.now_ms()
        return True

    def attempt_withheld(self) -> None:
        """Take in that nothing is sent."""
        if self.ended:
            return
        self.close()
        self.owner.attempt_withheld(self)

    def answer_began(self, answer: EndpointAnswer) -> None:
        """Take the head."""
        self.answer = answer
        self.heard_ms = self.owner.now_ms()
        self.choice.record.last_contact_ms = self.heard_ms
        if answer.kind is AnswerKind.FOREIGN:
            # What follows belongs to nobody here; the connection must not be reused.
            self.stop()
            self.owner.attempt_broke(self, 'foreign-answer')

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.answer is None or self.ended:
            return
        self.heard_ms = self.owner.now_ms()
        self.choice.record.last_contact_ms = self.heard_ms
        if self.answer.is_stream:
            self.owner.stream_data(self, data)
            return
        if self.passing:
            self.owner.pass_data(data)
            return
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > HELD_BYTES and self.answer.kind is AnswerKind.SUCCESS:
            self.passing = True
            self.owner.pass_head(self)

    def answer_ended(self) -> None:
        """Take the end of a whole answer."""
        if self.ended:
            return
        self.close()
        self.owner.attempt_answered(self)

    def attempt_failed(self, failure: CallFailure) -> None:
        """Take the failure."""
        if self.ended:
            return
        self.sent = failure.sent
        self.close()
        if failure.sent:
            self.owner.attempt_broke(self, 'connection-lost')
        else:
            self.owner.attempt_unsent(self, failure.reason)

    def endpoint_run_ended(self) -> None:
        """Take in that the endpoint has started again: no answer can come any more."""
        if self.ended:
            return
        self.stop()
        self.owner.attempt_broke(self, 'connection-lost')

    # -- what the course does

    def began_to_answer(self) -> None:
        """Note that the endpoint has read the prompt."""
        if self.waiting:
            self.waiting = False
            self.choice.record.end_prefill(self)

    def stop(self) -> None:
        """Close the connection, so that the endpoint stops working."""
        if self.ended:
            return
        self.close()
        if self.running is not None:
            self.running.cancel()

    def close(self) -> None:
        """Count the attempt as no longer at its endpoint."""
        self.ended = True
        self.owner.attempt_ended(self)
        self.began_to_answer()
        self.choice.record.end_attempt(self)
