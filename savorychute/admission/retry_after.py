"""How long a refused caller is asked to stay away."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorychute.admission.settings import AdmissionSettings

#: Callers that were refused together must not come back together.
JITTER_SHARE = 0.25


def choose_retry_after_ms(
    settings: AdmissionSettings, wait_ms: float, rng: random.Random
) -> int:
    """Return a Retry-After within the settings' bounds, with jitter.

    :param settings: the bounds.
    :param wait_ms: when the queue is expected to have drained.
    :param rng: the source of the jitter.
    """
    bounded_ms = min(
        max(wait_ms, settings.min_retry_after_ms), settings.max_retry_after_ms
    )
    return round(bounded_ms * (1 + JITTER_SHARE * rng.random()))
