"""Settings: one table, read from JSON with comments."""

from __future__ import annotations

from savorychute.settings.settings import Settings
from savorychute.settings.settings_file import read_settings

__all__ = ['Settings', 'read_settings']
