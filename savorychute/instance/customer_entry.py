"""What an instance looks up of one customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.customer_limits import CustomerLimits


class CustomerEntry(NamedTuple):
    """A customer's limits, tokens and what it may use."""

    limits: CustomerLimits
    token_hashes: tuple[str, ...]
    models: frozenset[str]
    services: frozenset[str]
