"""Limits of organisations, enforced across all instances."""

from __future__ import annotations

from savorychute.limits.limiter import OrganisationLimiter
from savorychute.limits.settings import LimitSettings

__all__ = ['LimitSettings', 'OrganisationLimiter']
