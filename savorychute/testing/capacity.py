"""About how much a system can carry, to state loads as shares of it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.testing.call import CallClass
    from savorychute.testing.topology import Topology

MS_PER_S = 1_000.0


def estimate_requests_per_s(topology: Topology) -> float:
    """Return the rate of all classes at which the engines are just busy.

    An engine with a full batch makes ``max_running`` tokens a step; the mean
    answer of the mix says how many requests that is.  Plain services are taken
    to have room.
    """
    tokens_per_s = sum(
        spec.settings.max_running
        * MS_PER_S
        / (
            spec.settings.step_ms
            + spec.settings.step_ms_per_stream * spec.settings.max_running
        )
        for spec in topology.engines
    )
    models = [each for each in topology.classes if not each.service]
    model_demand = sum(each.demand for each in models)
    all_demand = sum(each.demand for each in topology.classes)
    tokens = sum(each.demand * mean_output_tokens(each) for each in models)
    return tokens_per_s / (tokens / model_demand) * all_demand / model_demand


def mean_output_tokens(call_class: CallClass) -> float:
    """Return the mean of the class's log-normal output lengths."""
    return call_class.output_tokens * math.exp(call_class.spread**2 / 2)
