"""The demand for models, estimated by the holder of a region's lease."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from savorychute.placement import ModelDemand

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from savorychute.inputs import LoadReported
    from savorychute.instance.parts import InstanceParts

SERVICE_POOL_PREFIX = 'service:'


class DemandEstimator:
    """Estimates the number of queued and running requests per model in the region.

    Running requests are taken from the engines' reports, which count the
    requests of all instances.  An engine with several models does not report
    the model of each request, so its load is divided in proportion to this
    instance's own requests at that engine.  The queues of other instances are
    assumed to equal the one of this instance, because callers choose an
    instance at random.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts
        self._contract_models: frozenset[str] = frozenset()
        self._contract_models_offset = -1

    def estimate(self, reports: Iterable[LoadReported]) -> list[ModelDemand]:
        """Return the current demand.

        :param reports: the newest report of each model engine of the region.
        """
        own_requests = self._count_own_requests()
        running: Counter[str] = Counter()
        for report in reports:
            local_counts = own_requests.get(report.endpoint, Counter())
            for model, share in divide_load(report.models, local_counts).items():
                running[model] += share * (report.running + report.waiting)  # type: ignore[assignment]
        waiting = self._count_waiting()
        contract_models = self._list_contract_models()
        return [
            ModelDemand(
                model, running[model] + waiting[model], model in contract_models
            )
            for model in sorted(running.keys() | waiting.keys() | contract_models)
        ]

    def _count_own_requests(self) -> dict[str, Counter[str]]:
        """Count this instance's running requests by engine and model."""
        table = self._parts.request_table
        own_requests: dict[str, Counter[str]] = {}
        for pool in table.running_pools():
            for tracked in table.running(pool):
                if tracked.attempt is not None:
                    own_requests.setdefault(tracked.attempt.endpoint, Counter())[
                        pool
                    ] += 1
        return own_requests

    def _count_waiting(self) -> Counter[str]:
        parts = self._parts
        region = parts.address.region
        alive = parts.membership.view().alive
        instances = max(1, sum(member.region == region for member in alive))
        waiting: Counter[str] = Counter()
        for pool in parts.admission.pools():
            if not pool.startswith(SERVICE_POOL_PREFIX):
                waiting[pool] = instances * sum(parts.admission.waiting(pool).values())
        return waiting

    def _list_contract_models(self) -> frozenset[str]:
        """Return the models that the contracts name."""
        state = self._parts.configuration.state
        if state.offset != self._contract_models_offset:
            self._contract_models_offset = state.offset
            documents = state.contracts.values()
            self._contract_models = frozenset(
                model for document in documents for model in document['models']
            )
        return self._contract_models


def divide_load(
    models: Iterable[str], own_requests: Mapping[str, int]
) -> dict[str, float]:
    """Return the estimated share of each model in an engine's load.

    :param models: the models that the engine has loaded.
    :param own_requests: this instance's requests at the engine by model.
    """
    loaded = list(models)
    known_counts = {
        model: own_requests[model] for model in loaded if own_requests.get(model)
    }
    total = sum(known_counts.values())
    if total:
        return {model: count / total for model, count in known_counts.items()}
    return {model: 1 / len(loaded) for model in loaded}
