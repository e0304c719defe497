"""The limits of one organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.class_limits import ClassLimits


class OrganisationLimits(NamedTuple):
    """The limits of an organisation, summed over all instances.

    ``pool_share`` is the organisation's weight relative to other organisations of
    the same tier.  ``retry_share`` limits retries to a fraction of its requests.
    ``seats`` is the number of instances that its callers are assigned.
    """

    organisation: str
    pool_share: float
    requests_per_s: float
    concurrent_requests: int
    tokens_per_s: float
    retry_share: float
    seats: int
    classes: dict[str, ClassLimits]
