"""Dialects of endpoints: how attempts become HTTP and back."""

from __future__ import annotations

from savorychute.endpoints.dialect import DIALECTS, AnswerReader, Dialect
from savorychute.endpoints.openai_engine import OpenAiEngine
from savorychute.endpoints.plain_service import PlainService

__all__ = ['DIALECTS', 'AnswerReader', 'Dialect', 'OpenAiEngine', 'PlainService']
