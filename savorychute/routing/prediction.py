"""The predicted time to first token of one endpoint."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.routing.endpoint_book import EndpointBook
    from savorychute.routing.endpoint_state import EndpointState


#: Four times the square of a standard normal variable's mean positive part.
HALF_NORMAL = 0.64


def predict_first_token_ms(
    state: EndpointState, uncached_tokens: float, step_ms: float, now_ms: int
) -> float:
    """Return when the first token is expected, in ms from now.

    Sums the round trip, the wait for a place in the batch, the prompts that
    are computed before this one, this prompt, and one step.  A place becomes
    free once per ``mean output * step / places``, by Little's law with all
    places taken.

    :param state: the endpoint.
    :param uncached_tokens: the part of the prompt that has to be computed.
    :param step_ms: the endpoint's present time per step.
    """
    holding_ms = state.holding_ms(step_ms)
    others, variance = state.estimate_others(holding_ms, now_ms)
    excess = state.outstanding + others + 1 - state.capacity
    # The mean of the positive part of a normal variable, to 10 %.
    ahead = (excess + sqrt(excess * excess + HALF_NORMAL * variance)) / 2
    wait_ms = ahead * holding_ms / state.capacity
    if state.is_service:
        return state.round_trip_ms + wait_ms + state.service_ms
    tokens = uncached_tokens + state.backlog_tokens
    prefill_ms = step_ms * tokens / state.group.prefill_tokens_per_step
    return state.round_trip_ms + wait_ms + prefill_ms + step_ms


def predict_best(
    book: EndpointBook, candidates: Sequence[str], prompt_tokens: int, now_ms: int
) -> float | None:
    """Return the least prediction over *candidates*, or ``None`` without any.

    :param book: what is known of the endpoints.
    :param candidates: endpoints that may run the request.
    :param prompt_tokens: the prompt's length; nothing of it is cached.
    """
    predictions = []
    for name in candidates:
        state = book.state_of(name)
        step_ms = state.estimate_step_ms(now_ms)
        predictions.append(
            predict_first_token_ms(state, prompt_tokens, step_ms, now_ms)
        )
    return min(predictions, default=None)
