"""Faults and commands of scenarios, by name."""

from __future__ import annotations

from savorychute.testing.faults import (
    endpoint_faults,
    instance_faults,
    load_faults,
    network_faults,
    operator_commands,
    platform_faults,
)
from savorychute.testing.faults.fault_step import FaultStep
from savorychute.testing.faults.registry import FAULTS, FaultContext
