"""Estimates of the capacity of a system, for loads that are stated as a share of it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.testing.call import CallClass
    from savorychute.testing.topology import Topology

MS_PER_S = 1_000.0


def estimate_requests_per_s(topology: Topology) -> float:
    """Return the total request rate of all classes that saturates the engines.

    An engine with a full batch generates ``max_running`` tokens per step; the
    mean answer length of the class mix converts this to requests.  Plain
    services are assumed to have free capacity.
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
    model_classes = [
        call_class for call_class in topology.classes if not call_class.service
    ]
    model_demand = sum(call_class.demand for call_class in model_classes)
    all_demand = sum(call_class.demand for call_class in topology.classes)
    demanded_tokens = sum(
        call_class.demand * mean_output_tokens(call_class)
        for call_class in model_classes
    )
    return tokens_per_s / (demanded_tokens / model_demand) * all_demand / model_demand


def mean_output_tokens(call_class: CallClass) -> float:
    """Return the mean of the log-normal output lengths of a class."""
    return call_class.output_tokens * math.exp(call_class.spread**2 / 2)
