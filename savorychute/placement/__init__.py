"""Placement: which models are loaded on which engines."""

from __future__ import annotations

from savorychute.placement.engine_state import EngineState
from savorychute.placement.model_demand import ModelDemand
from savorychute.placement.placement_order import PlacementOrder
from savorychute.placement.planner import PlacementPlanner
from savorychute.placement.settings import PlacementSettings

__all__ = [
    'EngineState',
    'ModelDemand',
    'PlacementOrder',
    'PlacementPlanner',
    'PlacementSettings',
]
