"""Counts the executions of one request for its organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.endpoint_response import ResponseKind

if TYPE_CHECKING:
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt

NOT_RUN_KINDS = (ResponseKind.NOT_RUN, ResponseKind.OTHER_ENDPOINT)


class UsageObserver:
    """Counts when endpoints started to execute a request.

    A model engine starts a request with its first token.  A plain service starts it on
    arrival; an attempt that was sent and got no response may have run, and usually has.

    :param counter: where executions are counted.
    :param admitted: the request.
    """

    def __init__(self, counter: UsageCounter, admitted: AdmittedRequest) -> None:
        self._counter = counter
        self._organisation = admitted.organisation
        self._runs_models = admitted.service.runs_models

    def record_stream_start(self, now_ms: int) -> None:
        """Count an execution at its first event.

        :param now_ms: the current time.
        """
        self._counter.record_start(self._organisation, now_ms)

    def record_attempt_end(self, attempt: Attempt) -> None:
        """Count an execution by a plain service once its attempt has ended.

        :param attempt: the attempt that has ended.
        """
        if self._runs_models or not attempt.sent:
            return
        if attempt.response is not None and attempt.response.kind in NOT_RUN_KINDS:
            return
        self._counter.record_start(self._organisation, attempt.sent_ms)
