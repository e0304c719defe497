"""The limits of one customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.class_limits import ClassLimits


class CustomerLimits(NamedTuple):
    """What a contract gives a customer over all instances together.

    ``pool_share`` is the customer's weight against other customers of the
    same tier.  ``retry_share`` bounds retries as a part of its requests.
    ``seats`` is how many instances its callers are told to use.
    """

    customer: str
    pool_share: float
    requests_per_s: float
    concurrent_requests: int
    tokens_per_s: float
    retry_share: float
    seats: int
    classes: dict[str, ClassLimits]
