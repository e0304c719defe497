"""The predicted time to first token of one endpoint."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.routing.endpoint_state import EndpointState
    from savorychute.routing.endpoint_table import EndpointTable


#: Four times the square of the mean positive part of a standard normal variable.
HALF_NORMAL_FACTOR = 0.64


def predict_first_token_ms(
    state: EndpointState, uncached_tokens: float, step_ms: float, now_ms: int
) -> float:
    """Return the predicted time to first token, in ms from now.

    It is the sum of the round trip, the wait for a slot in the batch, the
    prompts that are computed before this one, this prompt, and one step.  With
    all slots occupied, a slot becomes free once per
    ``mean output * step / slots``, by Little's law.

    :param state: the endpoint.
    :param uncached_tokens: the part of the prompt that has to be computed.
    :param step_ms: the current time per step of the endpoint.
    """
    holding_ms = state.holding_ms(step_ms)
    peer_requests, variance = state.estimate_peer_requests(holding_ms, now_ms)
    excess_requests = state.outstanding + peer_requests + 1 - state.capacity
    # Approximates the mean of the positive part of a normal variable to 10 %.
    requests_ahead = (
        excess_requests
        + sqrt(excess_requests * excess_requests + HALF_NORMAL_FACTOR * variance)
    ) / 2
    wait_ms = requests_ahead * holding_ms / state.capacity
    if state.is_service:
        return state.round_trip_ms + wait_ms + state.service_ms
    tokens = uncached_tokens + state.backlog_tokens
    prefill_ms = step_ms * tokens / state.group.prefill_tokens_per_step
    return state.round_trip_ms + wait_ms + prefill_ms + step_ms


def predict_best(
    table: EndpointTable, candidates: Sequence[str], prompt_tokens: int, now_ms: int
) -> float | None:
    """Return the least prediction over *candidates*, or ``None`` without any.

    :param table: the state of the endpoints.
    :param candidates: the endpoints that can run the request.
    :param prompt_tokens: the length of the prompt; no part of it is cached.
    """
    predictions = []
    for name in candidates:
        state = table.state_of(name)
        step_ms = state.estimate_step_ms(now_ms)
        predictions.append(
            predict_first_token_ms(state, prompt_tokens, step_ms, now_ms)
        )
    return min(predictions, default=None)
