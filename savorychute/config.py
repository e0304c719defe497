"""Public interface of the settings, for programs that embed the package."""

from __future__ import annotations

from savorychute.settings.network_address import NetworkAddress
from savorychute.settings.settings import Settings
from savorychute.settings.settings_file import (
    build_settings,
    parse_settings,
    read_settings,
)
from savorychute.settings.table import SETTINGS

__all__ = [
    'SETTINGS',
    'NetworkAddress',
    'Settings',
    'build_settings',
    'parse_settings',
    'read_settings',
]
