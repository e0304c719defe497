"""Prediction of the wait at an engine before the prefill of a request starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import (
    OTHER_INSTANCES_FACTOR,
    usable_load,
)
from savorychute.gateway.engines.engine_speed import EvenSpeeds

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.engines.engine_speed import EngineSpeeds

# Time that each further request adds to the steps of a batch, over an answer of usual
# length.
REQUEST_STEP_COST_MS = 6.0
DOMAIN_DISTANCE_MS = 4.0


class WaitForecast:
    """Predicts waits from reports and own requests, separately for each rank.

    An engine prefills the most urgent prompts first, so a request waits only for those
    that are at least as urgent.

    :param failure_domain: the failure domain of this instance.
    :param rng: breaks ties.
    :param models: learned models of engines.
    :param speeds: tells the speed of each engine; all are equal if omitted.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        models: EngineModels,
        speeds: EngineSpeeds | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._models = models
        self._speeds = speeds or EvenSpeeds()

    def wait_ms(self, record: EndpointRecord, rank: int, now_ms: int) -> float:
        """Return the expected wait.

        :param record: the engine.
        :param rank: rank of the request.
        :param now_ms: the current time.
        """
        model = self._models.for_service(record.entry.service)
        load = usable_load(record, now_ms)
        if load is not None:
            wait_ms = _reported_wait(record, load, rank, model)
        else:
            pending_ms = model.prefill_ms(record.pending_prefill_tokens(rank))
            wait_ms = OTHER_INSTANCES_FACTOR * (
                pending_ms + REQUEST_STEP_COST_MS * record.outstanding
            )
        wait_ms /= self._speed(record, now_ms)
        if record.entry.failure_domain != self._failure_domain:
            wait_ms += DOMAIN_DISTANCE_MS
        return wait_ms + self._rng.random()

    def prefill_ms(self, record: EndpointRecord, now_ms: int) -> float:
        """Return how long an engine prefills what waits there, whatever its rank.

        :param record: the engine.
        :param now_ms: the current time.
        """
        model = self._models.for_service(record.entry.service)
        speed = self._speed(record, now_ms)
        load = usable_load(record, now_ms)
        if load is None:
            pending_ms = model.prefill_ms(record.pending_prefill_tokens())
            return OTHER_INSTANCES_FACTOR * pending_ms / speed
        next_tokens = load.next_tokens or model.mean_fresh_tokens
        tokens_per_prompt = min(next_tokens, model.mean_fresh_tokens)
        tokens = (load.waiting + load.prefilling) * tokens_per_prompt
        return model.prefill_ms(tokens + record.unreported_prefill_tokens()) / speed

    def _speed(self, record: EndpointRecord, now_ms: int) -> float:
        entry = record.entry
        return self._speeds.speed(entry.run, entry.service, now_ms).relative


def _reported_wait(
    record: EndpointRecord, load: EngineLoad, rank: int, model: EngineModel
) -> float:
    """Predict the wait at an engine from its report.

    A request waits for earlier prefills and for a slot: with 12 slots, all may be in
    use while there is still little to prefill.
    """
    tokens_per_prompt = min(load.next_tokens, model.mean_fresh_tokens)
    queued_tokens = (load.waiting_ahead(rank) + load.prefilling) * tokens_per_prompt
    prefill_ms = model.prefill_ms(
        queued_tokens + record.unreported_prefill_tokens(rank)
    )
    prefill_ms += REQUEST_STEP_COST_MS * load.generating
    slot_ms = model.slot_wait_ms(load.requests_ahead(rank) + 1, record.entry.slots)
    return max(prefill_ms, slot_ms)
