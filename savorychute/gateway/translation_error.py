"""The error for input that an adapter cannot read."""

from __future__ import annotations

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode


class TranslationError(SavorychuteError):
    """A document or a request of the platform lacks a field or has a wrong value."""

    code = ResultCode.BAD_FIELD
