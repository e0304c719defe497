"""One engine model for each service."""

from __future__ import annotations

from savorychute.gateway.dispatch.engine_model import EngineFigures, EngineModel


class EngineModels:
    """Keeps apart what engines of different services showed."""

    def __init__(self) -> None:
        self._models: dict[str, EngineModel] = {}

    def of(self, service: str) -> EngineModel:
        """Return the model of a service's engines.

        :param service: the service's name.
        """
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = EngineModel()
        return model

    def figures(self) -> dict[str, EngineFigures]:
        """Return what was learned of each service."""
        return {service: model.figures() for service, model in self._models.items()}
