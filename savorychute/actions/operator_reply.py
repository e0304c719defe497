"""Reply to an operator's command."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.result_code import ResultCode


class OperatorReply(NamedTuple):
    """Send *document*, encoded as JSON, as the reply to a command."""

    command_id: str
    document: bytes
    code: ResultCode = ResultCode.OK
