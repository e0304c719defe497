"""What one request shows of the engines that serve it, and of the room they have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import is_full_for

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.requests.admitted import Admitted
    from savorychute.gateway.requests.attempt import Attempt


class EngineObserver:
    """Tells the model of a service's engines what an attempt met there.

    :param models: of all services' engines.
    :param shortages: is told of requests that got nothing.
    :param admitted: what the request is owed.
    """

    def __init__(
        self, models: EngineModels, shortages: Shortages, admitted: Admitted
    ) -> None:
        self._models = models
        self._shortages = shortages
        self._service = admitted.service.name
        self._rank = admitted.rank
        self._target_ms = admitted.route.target_ms

    def offered(self, now_ms: int) -> None:
        """Note that the request came."""
        self._shortages.record_offered(self._service, self._rank, now_ms)

    def refused(self, now_ms: int) -> None:
        """Note that the request was refused for want of room."""
        self._shortages.record_unserved(self._service, self._rank, now_ms)

    def waited_in_vain(self, attempt: Attempt, now_ms: int) -> None:
        """Note a request that ended before its first event.

        It counts where it had waited beyond its objective and its engine is known to be
        full: callers also leave early, and engines that are not busy fall silent.

        :param attempt: the last one.
        :param now_ms: the time.
        """
        if now_ms - attempt.began_ms < self._target_ms:
            return
        if is_full_for(attempt.choice.record, self._rank, now_ms):
            self._shortages.record_unserved(self._service, self._rank, now_ms)

    def sent(self, choice: Choice) -> None:
        """Note what a request is expected to have read anew."""
        self._model().record_sent(choice.fresh_tokens, choice.isolated)

    def event_came(self, attempt: Attempt, gap_ms: int | None, now_ms: int) -> None:
        """Note an event of a stream.

        :param attempt: that the event came by.
        :param gap_ms: the pause before it, None for the first.
        :param now_ms: the time.
        """
        choice = attempt.choice
        if gap_ms is not None:
            reading = choice.record.has_queue(now_ms)
            self._model().record_gap(gap_ms, choice.isolated, reading)
        elif choice.idle:
            duration_ms = now_ms - attempt.began_ms
            self._model().record_first_event(choice.fresh_tokens, duration_ms)

    def stream_ended(self, attempt: Attempt, events: int) -> None:
        """Note a whole stream."""
        self._model().record_answer(events, attempt.choice.isolated)

    def _model(self) -> EngineModel:
        # Looked up when there is something to tell: a plain service has no model.
        return self._models.for_service(self._service)
