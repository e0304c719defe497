"""What an instance looks up of one organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.organisation_limits import OrganisationLimits


class OrganisationEntry(NamedTuple):
    """An organisation's limits, tokens and what it may use."""

    limits: OrganisationLimits
    token_hashes: tuple[str, ...]
    models: frozenset[str]
    services: frozenset[str]
