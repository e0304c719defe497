"""What follows from the configuration in force, ready for look-ups."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from savorychute.contracts.limits import derive_limits
from savorychute.instance.organisation_entry import OrganisationEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.configuration.applied_change import AppliedChange
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.contracts.organisation_limits import OrganisationLimits

CONTRACT_PREFIX = 'contract:'
ENDPOINT_PREFIX = 'endpoint:'
ACTIVE = 'active'
DIGEST_LENGTH = 12


def hash_token(token: str) -> str:
    """Return the hex SHA-256 digest under which a token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def digest_organisation(organisation: str) -> str:
    """Return the prefix that the organisation's stream ids carry."""
    digest = hashlib.sha256(organisation.encode()).hexdigest()
    return digest[:DIGEST_LENGTH]


class Directory:
    """Organisations by token, their limits, and usable endpoints.

    It follows the configuration change by change; at 1,400 contracts deriving
    everything anew for each of 1,500 changes a day would be wasted work.
    """

    def __init__(self) -> None:
        self.limits: dict[str, OrganisationLimits] = {}
        self.endpoints: dict[str, EndpointDocument] = {}
        self._entries: dict[str, OrganisationEntry] = {}
        self._organisations: dict[str, str] = {}
        self._listed: frozenset[str] = frozenset()

    def apply(self, changes: Iterable[AppliedChange]) -> None:
        """Follow the configuration.

        :param changes: in the order in which they came into force.
        """
        for change in changes:
            if change.item.startswith(CONTRACT_PREFIX):
                organisation = change.item.removeprefix(CONTRACT_PREFIX)
                self._drop_organisation(organisation)
                if change.document is not None:
                    self._add_organisation(organisation, change.document)  # type: ignore[arg-type]
            elif change.item.startswith(ENDPOINT_PREFIX):
                self._set_endpoint(change)

    def find_organisation(self, token: str) -> OrganisationLimits | None:
        """Return the limits of the organisation whose token this is.

        The look-up is by the token's hash, and the hash is compared in
        constant time, so the time taken tells nothing about valid tokens.
        """
        token_hash = hash_token(token)
        organisation = self._organisations.get(token_hash)
        if organisation is None:
            return None
        entry = self._entries[organisation]
        known = entry.token_hashes
        if not any(hmac.compare_digest(token_hash, other) for other in known):
            return None
        return entry.limits

    def may_use(self, organisation: str, model: str, service: str) -> bool:
        """Return whether the contract names the model or service."""
        entry = self._entries[organisation]
        if model:
            return model in entry.models
        return service in entry.services

    def is_usable(self, endpoint: str) -> bool:
        """Return whether the endpoint may get new work.

        It may not if an operator drains it or the platform's list says that
        it leaves; what it says itself is known to the ejector.
        """
        document = self.endpoints.get(endpoint)
        if document is None or document['state'] != ACTIVE:
            return False
        return endpoint not in self._listed

    def note_listing(self, leaving: frozenset[str]) -> None:
        """Remember who leaves according to the platform's list."""
        self._listed = leaving

    def _add_organisation(self, organisation: str, document: ContractDocument) -> None:
        limits = derive_limits(document)
        hashes = tuple(document['token_hashes'])
        self.limits[organisation] = limits
        self._entries[organisation] = OrganisationEntry(
            limits=limits,
            token_hashes=hashes,
            models=frozenset(document['models']),
            services=frozenset(document.get('services', ())),
        )
        for token_hash in hashes:
            self._organisations[token_hash] = organisation

    def _drop_organisation(self, organisation: str) -> None:
        self.limits.pop(organisation, None)
        entry = self._entries.pop(organisation, None)
        if entry is None:
            return
        for token_hash in entry.token_hashes:
            if self._organisations.get(token_hash) == organisation:
                del self._organisations[token_hash]

    def _set_endpoint(self, change: AppliedChange) -> None:
        endpoint = change.item.removeprefix(ENDPOINT_PREFIX)
        if change.document is None:
            self.endpoints.pop(endpoint, None)
            return
        self.endpoints[endpoint] = change.document  # type: ignore[assignment]
