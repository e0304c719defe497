"""A change of the configuration that has come into force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument


class AppliedChange(NamedTuple):
    """The change of one item from one version to a later one.

    ``document`` is None if the item was removed.  If the change results from
    adopting a whole state, ``operator``, ``record_id`` and ``why`` are those of the
    last amendment if its verdict is still remembered, and otherwise empty.
    ``instance`` is the instance that proposed the change, empty if a whole state
    was adopted; only that instance writes the change to durable records.
    """

    item: str
    from_version: int
    to_version: int
    document: ContractDocument | EndpointDocument | None
    offset: int
    operator: str = ''
    record_id: str = ''
    why: str = ''
    instance: str = ''
