"""Puts the adapter on the module search path, as the settings do."""

from __future__ import annotations

from pathlib import Path

from savorychute.settings.path_reader import read_extension_paths

read_extension_paths([str(Path(__file__).parents[2] / 'platform')])
