"""Prediction of when an engine would begin and end an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.engine_model import FULL_PREFILL_SHARE
from savorychute.gateway.dispatch.engine_state import usable_load
from savorychute.gateway.engines.engine_speed import EvenSpeeds

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.dispatch.wait_forecast import WaitForecast
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.engines.engine_speed import EngineSpeeds


class FinishEstimate(NamedTuple):
    """Expected times of an answer, from now.

    ``first_event_ms`` is the time until its first event, ``event_ms`` the time between
    two events, and ``end_ms`` the time until the last one.
    """

    first_event_ms: float
    event_ms: float
    end_ms: float


class FinishForecast:
    """Predicts answers from the load of an engine, its speed and the model of its service.

    :param forecast: predicts waits.
    :param models: learned models of engines.
    :param speeds: tells the speed of each engine; all are equal if omitted.
    """

    def __init__(
        self,
        forecast: WaitForecast,
        models: EngineModels,
        speeds: EngineSpeeds | None = None,
    ) -> None:
        self._forecast = forecast
        self._models = models
        self._speeds = speeds or EvenSpeeds()

    def estimate(
        self,
        record: EndpointRecord,
        requirements: RequestRequirements,
        fresh_tokens: int,
        now_ms: int,
    ) -> FinishEstimate:
        """Return when the engine would answer a request that is sent now.

        :param record: the engine.
        :param requirements: requirements of the request.
        :param fresh_tokens: tokens of the prompt that the engine has to prefill.
        :param now_ms: the current time.
        """
        model = self._models.for_service(record.entry.service)
        entry = record.entry
        speed = self._speeds.speed(entry.run, entry.service, now_ms).relative
        wait_ms = self._forecast.wait_ms(record, requirements.rank, now_ms)
        prefill_ms = model.prefill_ms(fresh_tokens) + model.overhead_ms
        event_ms = model.event_ms(_prefill_share(record, now_ms)) / speed
        first_event_ms = wait_ms + prefill_ms / speed
        events = requirements.answer_events or model.events_per_answer
        return FinishEstimate(
            first_event_ms, event_ms, first_event_ms + max(0.0, events - 1.0) * event_ms
        )


def _prefill_share(record: EndpointRecord, now_ms: int) -> float:
    """Return the share of time that an engine is expected to prefill."""
    load = usable_load(record, now_ms)
    if load is None:
        return FULL_PREFILL_SHARE / 2
    return FULL_PREFILL_SHARE if load.waiting + load.prefilling else 0.0
