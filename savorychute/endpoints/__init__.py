"""Dialects of endpoints: conversion between attempts and HTTP."""

from __future__ import annotations

from savorychute.endpoints.dialect import DIALECTS, Dialect, ResponseReader
from savorychute.endpoints.openai_engine import OpenAiEngine
from savorychute.endpoints.plain_service import PlainService

__all__ = ['DIALECTS', 'Dialect', 'OpenAiEngine', 'PlainService', 'ResponseReader']
