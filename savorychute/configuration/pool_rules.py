"""Rules between contracts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.document_rules import SHARE_UNITS, share_units

if TYPE_CHECKING:
    from savorychute.contracts.contract_document import ContractDocument


class PoolRules:
    """What all contracts together use of the pool and of tokens.

    Kept up by each change, so that a check costs the size of one contract and
    not of all of them.
    """

    def __init__(self) -> None:
        self._share_units = 0
        self._owners: dict[str, str] = {}

    def add(self, document: ContractDocument) -> None:
        """Count a contract in.

        :param document: one that is not counted yet.
        """
        self._share_units += share_units(document['pool_share'])
        for token_hash in document['token_hashes']:
            self._owners[token_hash] = document['organisation']

    def remove(self, document: ContractDocument) -> None:
        """Count a contract out.

        :param document: as it was counted in.
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
        """Return why *after* may not take the place of *before*.

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
