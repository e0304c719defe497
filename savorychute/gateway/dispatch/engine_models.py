"""Engine models by service."""

from __future__ import annotations

from savorychute.gateway.dispatch.engine_model import EngineEstimates, EngineModel


class EngineModels:
    """Holds a separate engine model for each service."""

    def __init__(self) -> None:
        self._models: dict[str, EngineModel] = {}

    def for_service(self, service: str) -> EngineModel:
        """Return the model of a service's engines.

        :param service: name of the service.
        """
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = EngineModel()
        return model

    def estimates(self) -> dict[str, EngineEstimates]:
        """Return the estimates for each service."""
        return {service: model.estimates() for service, model in self._models.items()}
