"""The demand for one model."""

from __future__ import annotations

from typing import NamedTuple


class ModelDemand(NamedTuple):
    """How many requests for a model wait or run at this moment.

    ``is_named`` says that a contract in force names the model.
    """

    model: str
    requests: float
    is_named: bool = False
