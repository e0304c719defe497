"""Memory of an interpreter that has imported the package and its libraries."""

from __future__ import annotations

import subprocess
import sys

IMPORT_ALL = """
import importlib, pkgutil
import capnp, h11, aioprometheus, eliot, json5, msgspec, xxhash
import hdrh.histogram
import savorychute
for found in pkgutil.walk_packages(savorychute.__path__, 'savorychute.'):
    if '.testing' in found.name or '.cmd' in found.name:
        continue
    try:
        importlib.import_module(found.name)
    except ImportError:
        pass
with open('/proc/self/status') as status:
    print(next(line for line in status if line.startswith('VmRSS')).split()[1])
"""
BYTES_PER_KIB = 1_024


def measure_interpreter_bytes() -> int:
    """Return the resident memory of a fresh process after all imports."""
    result = subprocess.run(
        [sys.executable, '-c', IMPORT_ALL], capture_output=True, text=True, check=True
    )
    return int(result.stdout) * BYTES_PER_KIB
