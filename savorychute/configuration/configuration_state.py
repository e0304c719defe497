"""The configuration in force."""

from __future__ import annotations

import xxhash

from savorychute.configuration.document_table import DocumentTable
from savorychute.configuration.item_name import CONTRACT, ItemName, parse_item
from savorychute.contracts.contract_document import ContractDocument
from savorychute.contracts.endpoint_document import EndpointDocument

NO_OFFSET = -1
DIGEST_MASK = 2**63 - 1


class ConfigurationState:
    """All documents, their versions, and the offset of the last folded record.

    An item's version is one more than the offset of the amendment that set it,
    so versions only increase, even if an item is removed and added again.
    ``digest`` is the exclusive or of one hash per item; two instances at the same
    offset must have the same digest.
    """

    def __init__(self) -> None:
        self.contracts: DocumentTable[ContractDocument] = DocumentTable(
            ContractDocument
        )
        self.endpoints: DocumentTable[EndpointDocument] = DocumentTable(
            EndpointDocument
        )
        self.versions: dict[str, int] = {}
        self.offset = NO_OFFSET
        self.digest = 0

    def document(self, item: str) -> ContractDocument | EndpointDocument | None:
        """Return the item's document, or None if there is no such item.

        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        """
        name = parse_item(item)
        if name is None:
            return None
        if name.kind == CONTRACT:
            return self.contracts.get(name.name)
        return self.endpoints.get(name.name)

    def encoded(self, item: str) -> bytes | None:
        """Return the item's document as canonical JSON, or None.

        :param item: ``contract:<organisation>`` or ``endpoint:<name>``.
        """
        name = parse_item(item)
        return None if name is None else self._table(name).encoded(name.name)

    def put(self, name: ItemName, version: int, encoded: bytes) -> None:
        """Set an item.

        :param name: the item.
        :param version: its new version.
        :param encoded: its document as canonical JSON.
        """
        self._remove_from_digest(name)
        self._table(name).put(name.name, encoded)
        self.versions[str(name)] = version
        self.digest ^= _hash_item(str(name), version, encoded)

    def remove(self, name: ItemName) -> None:
        """Remove an item, which must exist.

        :param name: the item.
        """
        self._remove_from_digest(name)
        self._table(name).remove(name.name)
        del self.versions[str(name)]

    def _remove_from_digest(self, name: ItemName) -> None:
        encoded = self._table(name).encoded(name.name)
        if encoded is not None:
            self.digest ^= _hash_item(str(name), self.versions[str(name)], encoded)

    def _table(
        self, name: ItemName
    ) -> DocumentTable[ContractDocument] | DocumentTable[EndpointDocument]:
        return self.contracts if name.kind == CONTRACT else self.endpoints


def _hash_item(item: str, version: int, encoded: bytes) -> int:
    prefix = f'{item}\n{version}\n'.encode()
    return int(xxhash.xxh3_64_intdigest(prefix + encoded)) & DIGEST_MASK
