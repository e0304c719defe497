"""Records what one request shows about the engines of its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import is_full_for
from savorychute.gateway.engines.stream_watch import StreamWatch

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.engines.shared_speeds import SharedSpeeds
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt


class EngineObserver:
    """Reports the timings of attempts to the model of a service's engines.

    :param models: the engine models of all services.
    :param shortages: is notified of requests that were not served.
    :param admitted: the request's route, service and rank.
    :param speeds: is notified of what each event shows of its engine; None if speeds are
        not observed.
    """

    def __init__(
        self,
        models: EngineModels,
        shortages: Shortages,
        admitted: AdmittedRequest,
        speeds: SharedSpeeds | None,
    ) -> None:
        self._models = models
        self._shortages = shortages
        self._service = admitted.service.name
        self._rank = admitted.rank
        self._target_ms = admitted.route.target_ms
        self._speeds = speeds
        self._watched: Attempt | None = None
        self._watch: StreamWatch | None = None

    def record_arrival(self, now_ms: int) -> None:
        """Record the arrival of the request."""
        self._shortages.record_offered(self._service, self._rank, now_ms)

    def record_refusal(self, now_ms: int) -> None:
        """Record that the request was refused for lack of capacity."""
        self._shortages.record_unserved(self._service, self._rank, now_ms)

    def record_unserved(self, attempt: Attempt, now_ms: int) -> None:
        """Record a request that ended before its first event.

        It counts only if it waited longer than its objective and its engine is known to
        be full: callers may also leave early, and idle engines may become unresponsive.

        :param attempt: the last attempt.
        :param now_ms: the current time.
        """
        if now_ms - attempt.started_ms < self._target_ms:
            return
        if is_full_for(attempt.choice.record, self._rank, now_ms):
            self._shortages.record_unserved(self._service, self._rank, now_ms)

    def record_send(self, choice: Choice) -> None:
        """Record how many uncached tokens the engine is expected to prefill."""
        self._model().record_sent(choice.fresh_tokens, choice.isolated)

    def record_event(self, attempt: Attempt, gap_ms: int | None, now_ms: int) -> None:
        """Record an event of a stream.

        The model describes an engine of speed 1.0, so durations are converted to it: a
        few slow engines would otherwise determine the gap expected at all others.

        :param attempt: the attempt that received the event.
        :param gap_ms: the gap before the event, None for the first.
        :param now_ms: the current time.
        """
        choice = attempt.choice
        if gap_ms is not None:
            prefilling = choice.record.has_queue(now_ms)
            self._model().record_gap(gap_ms * choice.speed, choice.isolated, prefilling)
        elif choice.idle:
            duration_ms = now_ms - attempt.started_ms
            self._model().record_first_event(
                choice.fresh_tokens, duration_ms * choice.speed
            )
        self._observe_speed(attempt, gap_ms, now_ms)

    def _observe_speed(self, attempt: Attempt, gap_ms: int | None, now_ms: int) -> None:
        if self._speeds is None:
            return
        choice = attempt.choice
        if attempt is not self._watched or self._watch is None:
            # The gap before the first event of an attempt belongs to no engine.
            self._watched = attempt
            self._watch = StreamWatch(self._speeds, choice.record)
            if choice.idle:
                duration_ms = now_ms - attempt.sent_ms
                self._watch.record_first_event(choice.fresh_tokens, duration_ms, now_ms)
        elif gap_ms is not None:
            self._watch.record_gap(gap_ms, now_ms)

    def record_stream_end(self, attempt: Attempt, events: int) -> None:
        """Record a complete stream."""
        self._model().record_answer(events, attempt.choice.isolated)

    def _model(self) -> EngineModel:
        # Looked up only when there is something to record: plain services have no model.
        return self._models.for_service(self._service)
