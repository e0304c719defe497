"""The kinds of duties."""

from __future__ import annotations

from enum import Enum


class DutyKind(Enum):
    """A duty towards the platform; the value is the label of the metric."""

    USAGE = 'usage'
    SERVERS = 'servers'
