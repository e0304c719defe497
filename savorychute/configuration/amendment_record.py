"""The log record of an operator's change to one item."""

from __future__ import annotations

from typing import Any, TypedDict

AMENDMENT_KIND = 'amendment'


class AmendmentRecord(TypedDict):
    """A proposed change of one contract or endpoint.

    ``base_version`` is the version of the item that the operator saw, 0 for an
    item that does not exist.  ``seen_offset`` is the last offset that the
    proposing instance had folded.  ``document`` is None to remove the item.
    ``at_ms`` is the proposer's wall-clock time since the epoch; it is only shown
    to operators and does not affect whether the change is accepted.
    """

    kind: str
    record_id: str
    operator: str
    instance: str
    item: str
    base_version: int
    seen_offset: int
    document: dict[str, Any] | None
    why: str
    at_ms: int
