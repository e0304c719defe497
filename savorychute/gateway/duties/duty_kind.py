"""What one instance does for all."""

from __future__ import annotations

from enum import Enum


class DutyKind(Enum):
    """A duty towards the platform; the value is the metric's label."""

    USAGE = 'usage'
    SERVERS = 'servers'
