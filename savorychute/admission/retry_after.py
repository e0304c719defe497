"""The Retry-After time of refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorychute.admission.settings import AdmissionSettings

#: Spreads the retries of callers that were refused at the same time.
JITTER_SHARE = 0.25


def choose_retry_after_ms(
    settings: AdmissionSettings, wait_ms: float, rng: random.Random
) -> int:
    """Return a Retry-After time within the configured limits, with jitter.

    :param settings: the limits.
    :param wait_ms: the time until the queue is expected to have drained.
    :param rng: the source of the jitter.
    """
    bounded_ms = min(
        max(wait_ms, settings.min_retry_after_ms), settings.max_retry_after_ms
    )
    return round(bounded_ms * (1 + JITTER_SHARE * rng.random()))
