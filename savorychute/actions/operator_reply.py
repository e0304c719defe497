"""Answer an operator's command."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.result_code import ResultCode


class OperatorReply(NamedTuple):
    """Send *document*, JSON bytes, for the command with this id."""

    command_id: str
    document: bytes
    code: ResultCode = ResultCode.OK
