"""One attempt of a request, as its endpoint answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.endpoint_answer import AnswerKind

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.chooser import Choice
    from savorychute.gateway.requests.attempt_port import RunningAttempt
    from savorychute.gateway.requests.endpoint_answer import EndpointAnswer
    from savorychute.gateway.requests.request_course import RequestCourse
    from savorychute.http.call_failure import CallFailure

# An answer up to this size is held until it is whole, so that another endpoint can
# take over if it breaks off; a larger one is passed on as it comes.
HELD_BYTES = 256 * 1024


class Attempt:
    """Collects an answer, or hands on the parts of a stream.

    :param course: the request that it belongs to.
    :param choice: the endpoint, and what it is expected to read.
    :param began_ms: when it was started.
    """

    __slots__ = (
        'answer',
        'began_ms',
        'choice',
        'course',
        'ended',
        'heard_ms',
        'held',
        'held_bytes',
        'passing',
        'running',
        'sent',
        'waiting',
    )

    def __init__(self, course: RequestCourse, choice: Choice, began_ms: int) -> None:
        self.course = course
        self.choice = choice
        self.began_ms = began_ms
        self.heard_ms = began_ms
        self.running: RunningAttempt | None = None
        self.answer: EndpointAnswer | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.passing = False
        self.sent = False
        self.ended = False
        self.waiting = True
        choice.record.begin(self, choice.fresh_tokens, began_ms)

    # -- what the endpoint does

    def may_send(self) -> bool:
        """Return whether the attempt is still wanted."""
        self.sent = True
        return True

    def answer_began(self, answer: EndpointAnswer) -> None:
        """Take the head."""
        self.answer = answer
        self.heard_ms = self.course.now_ms()
        self.choice.record.heard_ms = self.heard_ms
        if answer.kind is AnswerKind.FOREIGN:
            # What follows belongs to nobody here; the connection must not be reused.
            self.stop()
            self.course.attempt_broke(self, 'foreign-answer')

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.answer is None or self.ended:
            return
        self.heard_ms = self.course.now_ms()
        self.choice.record.heard_ms = self.heard_ms
        if self.answer.is_stream:
            self.course.stream_data(self, data)
            return
        if self.passing:
            self.course.pass_data(data)
            return
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > HELD_BYTES and self.answer.kind is AnswerKind.SUCCESS:
            self.passing = True
            self.course.pass_head(self)

    def answer_ended(self) -> None:
        """Take the end of a whole answer."""
        if self.ended:
            return
        self.close()
        self.course.attempt_answered(self)

    def attempt_failed(self, failure: CallFailure) -> None:
        """Take the failure."""
        if self.ended:
            return
        self.sent = failure.sent
        self.close()
        if failure.sent:
            self.course.attempt_broke(self, 'connection-lost')
        else:
            self.course.attempt_unsent(self, failure.reason)

    # -- what the course does

    def began_to_answer(self) -> None:
        """Note that the endpoint has read the prompt."""
        if self.waiting:
            self.waiting = False
            self.choice.record.end_reading(self)

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
        self.began_to_answer()
        self.choice.record.end(self)
