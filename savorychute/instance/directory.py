"""Look-up tables derived from the configuration in force."""

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
ACTIVE_STATE = 'active'
ORGANISATION_DIGEST_CHARS = 12


def hash_token(token: str) -> str:
    """Return the hex SHA-256 digest that is stored instead of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def digest_organisation(organisation: str) -> str:
    """Return the prefix of the organisation's stream ids."""
    digest = hashlib.sha256(organisation.encode()).hexdigest()
    return digest[:ORGANISATION_DIGEST_CHARS]


class Directory:
    """Organisations by token, their limits, and usable endpoints.

    It applies configuration changes one by one: with 1,400 contracts and 1,500
    changes a day, rebuilding the tables for each change would waste work.
    """

    def __init__(self) -> None:
        self.limits: dict[str, OrganisationLimits] = {}
        self.endpoints: dict[str, EndpointDocument] = {}
        self._entries: dict[str, OrganisationEntry] = {}
        self._organisation_by_token_hash: dict[str, str] = {}
        self._leaving_names: frozenset[str] = frozenset()

    def apply(self, changes: Iterable[AppliedChange]) -> None:
        """Apply changes of the configuration.

        :param changes: in the order in which they came into force.
        """
        for change in changes:
            if change.item.startswith(CONTRACT_PREFIX):
                organisation = change.item.removeprefix(CONTRACT_PREFIX)
                self._remove_organisation(organisation)
                if change.document is not None:
                    self._add_organisation(organisation, change.document)  # type: ignore[arg-type]
            elif change.item.startswith(ENDPOINT_PREFIX):
                self._set_endpoint(change)

    def find_organisation(self, token: str) -> OrganisationLimits | None:
        """Return the limits of the organisation that owns the token.

        The look-up uses the hash of the token, and hashes are compared in
        constant time, so the time taken reveals nothing about valid tokens.
        """
        token_hash = hash_token(token)
        organisation = self._organisation_by_token_hash.get(token_hash)
        if organisation is None:
            return None
        entry = self._entries[organisation]
        valid_hashes = entry.token_hashes
        if not any(
            hmac.compare_digest(token_hash, valid_hash) for valid_hash in valid_hashes
        ):
            return None
        return entry.limits

    def can_use(self, organisation: str, model: str, service: str) -> bool:
        """Return whether the contract names the model or service."""
        entry = self._entries[organisation]
        if model:
            return model in entry.models
        return service in entry.services

    def is_usable(self, endpoint: str) -> bool:
        """Return whether the endpoint can get new work.

        It cannot if an operator drains it or the platform's list reports it as
        leaving.  The ejector handles what the endpoint reports itself.
        """
        document = self.endpoints.get(endpoint)
        if document is None or document['state'] != ACTIVE_STATE:
            return False
        return endpoint not in self._leaving_names

    def set_leaving(self, leaving: frozenset[str]) -> None:
        """Set the names that the platform's list reports as leaving."""
        self._leaving_names = leaving

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
            self._organisation_by_token_hash[token_hash] = organisation

    def _remove_organisation(self, organisation: str) -> None:
        self.limits.pop(organisation, None)
        entry = self._entries.pop(organisation, None)
        if entry is None:
            return
        for token_hash in entry.token_hashes:
            if self._organisation_by_token_hash.get(token_hash) == organisation:
                del self._organisation_by_token_hash[token_hash]

    def _set_endpoint(self, change: AppliedChange) -> None:
        endpoint = change.item.removeprefix(ENDPOINT_PREFIX)
        if change.document is None:
            self.endpoints.pop(endpoint, None)
            return
        self.endpoints[endpoint] = change.document  # type: ignore[assignment]
