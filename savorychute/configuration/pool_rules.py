"""Validation rules that span all contracts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.document_rules import SHARE_UNITS, share_units

if TYPE_CHECKING:
    from savorychute.contracts.contract_document import ContractDocument


class PoolRules:
    """The pool shares and tokens that all contracts use together.

    The totals are updated with each change, so that the cost of a check depends on
    the size of one contract rather than on all contracts.
    """

    def __init__(self) -> None:
        self._share_units = 0
        self._owners: dict[str, str] = {}

    def add(self, document: ContractDocument) -> None:
        """Add a contract to the totals.

        :param document: a contract that is not included yet.
        """
        self._share_units += share_units(document['pool_share'])
        for token_hash in document['token_hashes']:
            self._owners[token_hash] = document['organisation']

    def remove(self, document: ContractDocument) -> None:
        """Remove a contract from the totals.

        :param document: the contract as it was added.
        """
        self._share_units -= share_units(document['pool_share'])
        for token_hash in document['token_hashes']:
            self._owners.pop(token_hash, None)

    def owner_of(self, token_hash: str) -> str | None:
        """Return the organisation whose token has this hash, or None."""
        return self._owners.get(token_hash)

    def check(
        self, before: ContractDocument | None, after: ContractDocument
    ) -> list[str]:
        """Return the reasons why *after* cannot replace *before*.

        :param before: the organisation's contract in force, if there is one.
        :param after: the proposed contract.
        """
        faults = []
        used = self._share_units + share_units(after['pool_share'])
        if before is not None:
            used -= share_units(before['pool_share'])
        if used > SHARE_UNITS:
            faults.append(
                f'pool_share: all contracts add up to {used / SHARE_UNITS}, above 1'
            )
        for token_hash in after['token_hashes']:
            owner = self._owners.get(token_hash)
            if owner is not None and owner != after['organisation']:
                faults.append(
                    f'token_hashes: {token_hash[:12]}... belongs to {owner!r}'
                )
        return faults
