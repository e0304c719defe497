"""Operator commands, grouped by module; importing them registers them."""

from __future__ import annotations

from savorychute.instance.operator_commands import (
    contracts,
    endpoints,
    instances,
    records,
)
