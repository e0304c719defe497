"""The demand for one model."""

from __future__ import annotations

from typing import NamedTuple


class ModelDemand(NamedTuple):
    """The number of requests for a model that wait or run now.

    ``is_named`` is true if a contract in force names the model.
    """

    model: str
    requests: float
    is_named: bool = False
