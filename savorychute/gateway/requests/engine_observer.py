"""What one request shows of the engines that serve it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.requests.attempt import Attempt


class EngineObserver:
    """Tells the model of a service's engines what an attempt met there.

    :param models: of all services' engines.
    :param service: that the request is for.
    """

    def __init__(self, models: EngineModels, service: str) -> None:
        self._models = models
        self._service = service

    def sent(self, choice: Choice) -> None:
        """Note what a request is expected to have read anew."""
        self._model().note_sent(choice.fresh_tokens, choice.apart)

    def event_came(self, attempt: Attempt, gap_ms: int | None, now_ms: int) -> None:
        """Note an event of a stream.

        :param attempt: that the event came by.
        :param gap_ms: the pause before it, None for the first.
        :param now_ms: the time.
        """
        choice = attempt.choice
        if gap_ms is not None:
            reading = choice.record.has_queue(now_ms)
            self._model().note_gap(gap_ms, choice.apart, reading)
        elif choice.idle:
            duration_ms = now_ms - attempt.began_ms
            self._model().note_first_event(choice.fresh_tokens, duration_ms)

    def stream_ended(self, attempt: Attempt, events: int) -> None:
        """Note a whole stream."""
        self._model().note_answer(events, attempt.choice.apart)

    def _model(self) -> EngineModel:
        # Looked up when there is something to tell: a plain service has no model.
        return self._models.of(self._service)
