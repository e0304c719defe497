"""When endpoints began to run one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.endpoint_answer import AnswerKind

if TYPE_CHECKING:
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.requests.admitted import Admitted
    from savorychute.gateway.requests.attempt import Attempt

NOT_RUN = (AnswerKind.NOT_RUN, AnswerKind.OTHER_ENDPOINT)


class UsageObserver:
    """Counts the runs of a request for its organisation.

    A model engine begins a request with its first token.  A plain service begins it when it
    arrives; an attempt that was sent and did not answer may have run, and mostly has.

    :param ledger: where runs are counted.
    :param admitted: the request.
    """

    def __init__(self, ledger: UsageCounter, admitted: Admitted) -> None:
        self._ledger = ledger
        self._organisation = admitted.organisation
        self._runs_models = admitted.service.runs_models

    def stream_began(self, now_ms: int) -> None:
        """Count a run by its first event.

        :param now_ms: the time.
        """
        self._ledger.record_start(self._organisation, now_ms)

    def ended(self, attempt: Attempt) -> None:
        """Count a run of a plain service once nothing more comes of it.

        :param attempt: that has ended.
        """
        if self._runs_models or not attempt.sent:
            return
        if attempt.answer is not None and attempt.answer.kind in NOT_RUN:
            return
        self._ledger.record_start(self._organisation, attempt.sent_ms)
