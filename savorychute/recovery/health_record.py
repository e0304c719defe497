"""The recent outcomes and the health of one endpoint."""

from __future__ import annotations

from savorychute.recovery.endpoint_health import EndpointHealth

OUTCOME_WINDOW = 64


class HealthRecord:
    """The health of one endpoint and its outcomes since the last readmission.

    :param groups: the pools that it serves; ejection is limited in each of them.
    """

    __slots__ = (
        'consecutive',
        'crashed',
        'ejections',
        'failures',
        'groups',
        'health',
        'outcomes',
        'since_ms',
        'suspect_until_ms',
        'until_ms',
    )

    def __init__(self, groups: tuple[str, ...]) -> None:
        self.groups = groups
        self.health = EndpointHealth.HEALTHY
        self.since_ms = 0
        self.until_ms = 0
        self.suspect_until_ms = -1
        self.ejections = 0
        self.consecutive = 0
        self.crashed = False
        self.outcomes = 0.0
        self.failures = 0.0

    def count_outcome(self, failed: bool) -> None:
        """Count one outcome; the weight of old ones is reduced by halving."""
        if self.outcomes >= OUTCOME_WINDOW:
            self.outcomes /= 2
            self.failures /= 2
        self.outcomes += 1
        if failed:
            self.failures += 1
            self.consecutive += 1
        else:
            self.consecutive = 0

    def reset(self) -> None:
        """Discard the outcomes counted so far."""
        self.outcomes = 0.0
        self.failures = 0.0
        self.consecutive = 0
