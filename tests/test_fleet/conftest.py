"""Adds the adapter to the module search path, as the settings do, and loads it."""

from __future__ import annotations

import importlib
from pathlib import Path

from savorychute.settings.path_reader import read_extension_paths
from savorychute.testing.load_all import load_all

read_extension_paths([str(Path(__file__).parents[2] / 'platform')])
load_all(importlib.import_module('fleet'))
