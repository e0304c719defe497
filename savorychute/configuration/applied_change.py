"""A change of the configuration that is now in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument


class AppliedChange(NamedTuple):
    """One item's step from a version to a later one.

    ``document`` is None if the item was removed.  After a state was adopted
    whole, ``operator``, ``record_id`` and ``why`` are those of the last
    amendment if it is still remembered, and else empty.  ``instance`` is the
    one that proposed the change, empty if the state was adopted whole; it
    alone writes the change to what must last.
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
