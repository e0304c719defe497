"""A verdict in a snapshot."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.configuration.verdict import Verdict
from savorychute.result_code import ResultCode

_CODES = {code.number: code for code in ResultCode}


class VerdictRow(NamedTuple):
    """A :class:`Verdict` with the number of its result code."""

    offset: int
    record_id: str
    item: str
    operator: str
    code_number: int
    version: int
    message: str
    why: str
    at_ms: int


def verdict_to_row(verdict: Verdict) -> VerdictRow:
    """Convert a verdict to a row."""
    return VerdictRow(
        verdict.offset,
        verdict.record_id,
        verdict.item,
        verdict.operator,
        verdict.code.number,
        verdict.version,
        verdict.message,
        verdict.why,
        verdict.at_ms,
    )


def row_to_verdict(row: VerdictRow) -> Verdict:
    """Convert a row to a verdict.

    :raises KeyError: if no result code has the number.
    """
    code = _CODES[row.code_number]
    return Verdict(*row[:4], code, *row[5:])
