"""The daemon: sockets around an instance, on one loop and one thread."""

from __future__ import annotations
