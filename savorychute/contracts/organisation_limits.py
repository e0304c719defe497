"""The limits of one organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.class_limits import ClassLimits


class OrganisationLimits(NamedTuple):
    """What a contract gives an organisation over all instances together.

    ``pool_share`` is the organisation's weight against other organisations of the
    same tier.  ``retry_share`` bounds retries as a part of its requests.
    ``seats`` is how many instances its callers are told to use.
    """

    organisation: str
    pool_share: float
    requests_per_s: float
    concurrent_requests: int
    tokens_per_s: float
    retry_share: float
    seats: int
    classes: dict[str, ClassLimits]
