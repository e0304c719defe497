"""The speed of one run of an engine, as far as it is known."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun


class EngineSpeed(NamedTuple):
    """A speed relative to the median of the engine's service, and its evidence.

    ``relative`` is 1.0 for an engine of median speed, 0.5 for one that takes twice as
    long.  ``weight`` is the number of observations behind it, 0 if there are none, and
    ``age_ms`` the time since the newest of them.  ``prefill`` and ``generation`` are the
    speeds at prefill and at generation alone, by the same scale.
    """

    relative: float = 1.0
    weight: float = 0.0
    age_ms: int = 0
    prefill: float = 1.0
    generation: float = 1.0


class EngineSpeeds(Protocol):
    """Tells the speeds of engines."""

    def speed(self, run: EndpointRun, service: str, now_ms: int) -> EngineSpeed:
        """Return the speed of one run of an engine.

        :param run: the run.
        :param service: name of the engine's service.
        :param now_ms: the current time.
        """
        ...


UNKNOWN_SPEED = EngineSpeed()


class EvenSpeeds:
    """Takes all engines of a service for equally fast."""

    def speed(
        self,
        run: EndpointRun,  # noqa: ARG002
        service: str,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> EngineSpeed:
        """Return the median speed, without any evidence."""
        return UNKNOWN_SPEED
