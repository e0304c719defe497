"""The target system size, and smaller systems of the same proportions."""

from __future__ import annotations

from typing import NamedTuple

TARGET_INSTANCES = 530
TARGET_ENDPOINTS = 2_100
TARGET_ORGANISATIONS = 1_400
TARGET_REGIONS = 8
TARGET_DOMAINS = 22
TARGET_REQUESTS_PER_S = 15_000
TARGET_TOKENS_PER_S = 3_000_000
TARGET_MODELS = 13
TARGET_TIERS = 5
TARGET_CHANGES_PER_DAY = 1_500
TARGET_FAILED_PER_DAY = 44
TARGET_REPLACED_PER_DAY = 620
DAY_S = 86_400

PROCESSOR_LIMIT_US_PER_S = 11_000
MEMORY_LIMIT_BYTES = 64_000_000
CONTROL_LIMIT_BYTES_PER_S = 4_000
SPREAD_LIMIT_MS = 7_000

SIZES = (8, 32, 128, TARGET_INSTANCES)


class Target(NamedTuple):
    """A system of *instances* instances with everything else in proportion."""

    instances: int

    @property
    def endpoints(self) -> int:
        """Return the number of endpoints."""
        return round(self.instances * TARGET_ENDPOINTS / TARGET_INSTANCES)

    @property
    def organisations(self) -> int:
        """Return the number of organisations."""
        return round(self.instances * TARGET_ORGANISATIONS / TARGET_INSTANCES)

    @property
    def regions(self) -> int:
        """Return the number of regions, of about 66 instances each."""
        return max(1, round(self.instances * TARGET_REGIONS / TARGET_INSTANCES))

    @property
    def requests_per_s(self) -> float:
        """Return the request rate of the whole system."""
        return self.instances * TARGET_REQUESTS_PER_S / TARGET_INSTANCES
