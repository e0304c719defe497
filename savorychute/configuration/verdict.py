"""The decision of the fold on a record."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.result_code import ResultCode


class Verdict(NamedTuple):
    """The fold's decision on one record, the same on every instance.

    ``code`` is ``OK`` for an accepted amendment.  ``version`` is the version of the
    item after the record; for a rejected record this is the version in force.
    """

    offset: int
    record_id: str
    item: str
    operator: str
    code: ResultCode
    version: int
    message: str
    why: str
    at_ms: int

    @property
    def accepted(self) -> bool:
        """Whether the amendment was accepted."""
        return self.code is ResultCode.OK
