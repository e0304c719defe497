"""The demand for models, as the holder of a region's lease sees it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from savorychute.placement import ModelDemand

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from savorychute.inputs import LoadReported
    from savorychute.instance.parts import Parts

SERVICE_PREFIX = 'service:'


class DemandGatherer:
    """Estimates how many requests for each model wait or run in the region.

    What runs comes from the engines' reports, which count all instances'
    requests.  An engine that holds several models does not say which of them
    its requests are for; they are divided like this instance's own requests
    there.  What waits at other instances is taken to be like what waits here:
    callers choose among instances at random.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._named: frozenset[str] = frozenset()
        self._named_offset = -1

    def gather(self, reports: Iterable[LoadReported]) -> list[ModelDemand]:
        """Return the demand of this moment.

        :param reports: the newest of each model engine of the region.
        """
        own = self._count_own()
        running: Counter[str] = Counter()
        for report in reports:
            here = own.get(report.endpoint, Counter())
            for model, share in divide(report.models, here).items():
                running[model] += share * (report.running + report.waiting)  # type: ignore[assignment]
        waiting = self._count_waiting()
        named = self._list_named()
        return [
            ModelDemand(model, running[model] + waiting[model], model in named)
            for model in sorted(running.keys() | waiting.keys() | named)
        ]

    def _count_own(self) -> dict[str, Counter[str]]:
        """Return this instance's running requests by engine and model."""
        table = self._parts.table
        own: dict[str, Counter[str]] = {}
        for pool in table.running_pools():
            for tracked in table.running(pool):
                if tracked.attempt is not None:
                    own.setdefault(tracked.attempt.endpoint, Counter())[pool] += 1
        return own

    def _count_waiting(self) -> Counter[str]:
        parts = self._parts
        region = parts.address.region
        alive = parts.membership.view().alive
        instances = max(1, sum(member.region == region for member in alive))
        waiting: Counter[str] = Counter()
        for pool in parts.admission.pools():
            if not pool.startswith(SERVICE_PREFIX):
                waiting[pool] = instances * sum(parts.admission.waiting(pool).values())
        return waiting

    def _list_named(self) -> frozenset[str]:
        """Return the models that contracts name."""
        state = self._parts.configuration.state
        if state.offset != self._named_offset:
            self._named_offset = state.offset
            documents = state.contracts.values()
            self._named = frozenset(
                model for document in documents for model in document['models']
            )
        return self._named


def divide(models: Iterable[str], own: Mapping[str, int]) -> dict[str, float]:
    """Return what part of an engine's load each of its models is taken to have.

    :param models: loaded there.
    :param own: this instance's requests there by model.
    """
    loaded = list(models)
    known = {model: own[model] for model in loaded if own.get(model)}
    total = sum(known.values())
    if total:
        return {model: count / total for model, count in known.items()}
    return {model: 1 / len(loaded) for model in loaded}
