"""What one caller has been sent, and how its answer may still end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.requests.refusal import Refusal
from savorychute.gateway.requests.stream_relay import StreamRelay
from savorychute.ran import Ran

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.requests.caller_port import CallerPort
    from savorychute.gateway.requests.endpoint_answer import EndpointAnswer
    from savorychute.result_code import ResultCode


class Ending(NamedTuple):
    """How an answer ended, for the log; ``status`` is 0 for one that was cut."""

    outcome: str
    status: int = 0


class CallerAnswer:
    """Passes on what endpoints answer, and knows what can no longer be taken back.

    Once a caller has a part of an answer, no status can replace it: the rest follows,
    or the answer is cut so that it cannot be taken for a whole one.

    :param caller: who waits.
    :param last_event: the id of the last event that the caller has already.
    """

    def __init__(self, caller: CallerPort, last_event: str) -> None:
        self._caller = caller
        self.relay = StreamRelay(caller, last_event)
        self.passing = False

    @property
    def begun(self) -> bool:
        """Whether the caller has a part of an answer."""
        return self.relay.begun or self.passing

    def pass_head(self, answer: EndpointAnswer, held: Sequence[bytes]) -> None:
        """Begin to pass on an answer that is too large to be held.

        :param answer: its head.
        :param held: the parts of its body so far.
        """
        self.passing = True
        self._caller.begin(answer.status, answer.headers)
        self._caller.send(b''.join(held))

    def pass_data(self, data: bytes) -> None:
        """Pass on more of it."""
        self._caller.send(data)

    def complete(self, answer: EndpointAnswer, held: Sequence[bytes]) -> None:
        """End a success whose last byte has come.

        :param answer: its head.
        :param held: the parts of its body that were not passed on.
        """
        if self.passing:
            self._caller.finish()
        elif not answer.is_stream:
            self._caller.respond(answer.status, answer.headers, b''.join(held))
        else:
            if not self.relay.begun:
                self._caller.begin(answer.status, answer.headers)
            self._caller.finish()

    def fail(self, answer: EndpointAnswer, held: Sequence[bytes]) -> None:
        """Pass an endpoint's failure on.

        :param answer: its head.
        :param held: its body.
        """
        if self.begun:
            self._caller.cut()
        else:
            self._caller.respond(answer.status, answer.headers, b''.join(held))

    def give_up(self, not_run: Refusal, unknown: ResultCode, runs: int) -> Ending:
        """End without an answer of an endpoint, and say truly what is known.

        :param not_run: told if nothing can have run.
        :param unknown: the code that is told if something can.
        :param runs: attempts that can have run.
        """
        reason = not_run.reason
        if self.begun:
            self._caller.cut()
            return Ending(f'cut-{reason}')
        refusal = Refusal(unknown, Ran.UNKNOWN, reason) if runs else not_run
        self._caller.refuse(refusal)
        return Ending(reason, refusal.code.status)
