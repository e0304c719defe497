"""Limits of customers over all instances."""

from __future__ import annotations

from savorychute.limits.limiter import CustomerLimiter
from savorychute.limits.settings import LimitSettings

__all__ = ['CustomerLimiter', 'LimitSettings']
