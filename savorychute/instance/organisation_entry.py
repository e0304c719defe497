"""The directory entry of one organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.organisation_limits import OrganisationLimits


class OrganisationEntry(NamedTuple):
    """The limits, tokens, models and services of an organisation."""

    limits: OrganisationLimits
    token_hashes: tuple[str, ...]
    models: frozenset[str]
    services: frozenset[str]
