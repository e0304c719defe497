"""The only way to a caller: a promise that a request did not run is true."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import NOT_RUN_STATUSES, Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.caller_port import CallerPort


def promises_not_run(status: int) -> bool:
    """Return whether a status promises that the request did not run.

    :param status: the HTTP status.
    """
    return status in NOT_RUN_STATUSES


class CountedExecution(Protocol):
    """A request that counts the attempts of its own that may have run."""

    possible_executions: int


class CallerGuard:
    """Sends all responses to a request, and no promise that may be broken.

    An endpoint's response is forwarded only if its request ran, so none of them may have
    a status that promises the opposite; the outcome is then unknown to the caller.  A
    refusal promises 'not run' only if each attempt was not sent, or rejected.

    :param caller: the caller's connection.
    :param execution: the request.
    """

    def __init__(self, caller: CallerPort, execution: CountedExecution) -> None:
        self._caller = caller
        self._execution = execution
        self._attempt: Attempt | None = None
        # Whether an attempt before the current one may have run.
        self._may_have_run = False
        # Whether the caller was sent a refusal instead of an endpoint's response.
        self._is_replaced = False

    def watch(self, attempt: Attempt) -> None:
        """Take an attempt into account before it is started.

        :param attempt: the attempt.
        """
        self._may_have_run = self.may_have_run
        self._attempt = attempt

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run, or may still run."""
        attempt = self._attempt
        return (
            self._may_have_run
            or self._execution.possible_executions > 0
            or (attempt is not None and attempt.sent and not attempt.is_rejected)
        )

    def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> int:
        """Send a complete response of an endpoint; return the status that was sent."""
        if promises_not_run(status):
            return self._replace(status)
        self._caller.respond(status, headers, body)
        return status

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of an endpoint's response."""
        if promises_not_run(status):
            self._replace(status)
        else:
            self._caller.start(status, headers)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._is_replaced:
            self._caller.send(data)

    def finish(self) -> None:
        """End a complete response."""
        if not self._is_replaced:
            self._caller.finish()

    def abort(self) -> None:
        """End a response so that it cannot be mistaken for a complete one."""
        if not self._is_replaced:
            self._caller.abort()

    def refuse(self, not_run: Refusal, unknown: ResultCode) -> int:
        """Send an error response of the gateway; return its status.

        :param not_run: the refusal to send if no attempt can have run.
        :param unknown: the code to send if one may have run.
        """
        refusal = not_run
        if self.may_have_run:
            refusal = Refusal(unknown, Ran.UNKNOWN, not_run.reason)
        self._caller.refuse(refusal)
        return refusal.code.status

    def _replace(self, status: int) -> int:
        """Refuse, as an endpoint has sent a promise that nothing vouches for."""
        self._is_replaced = True
        code = ResultCode.OUTCOME_UNKNOWN
        reason = name_unknown_outcome(status)
        self._caller.refuse(Refusal(code, Ran.UNKNOWN, reason))
        return code.status


def name_unknown_outcome(status: int) -> str:
    """Return the outcome of a request whose endpoint's status promises too much.

    :param status: the endpoint's status.
    """
    return f'outcome-unknown-{status}'
