"""An organisation's contract in the form that operators enter."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from savorychute.contracts.class_document import ClassDocument  # noqa: TC001


class ContractDocument(TypedDict):
    """The only source of an organisation's limits, priorities and targets.

    ``token_hashes`` are hex SHA-256 digests of bearer tokens.  ``pool_share`` is
    the fraction of the pool's capacity, between 0 and 1, to which the organisation
    is entitled when demand exceeds capacity.
    """

    organisation: str
    token_hashes: list[str]
    pool_share: float
    requests_per_s: float
    concurrent_requests: int
    tokens_per_s: float
    models: list[str]
    services: NotRequired[list[str]]
    classes: list[ClassDocument]
    retry_share: NotRequired[float]
