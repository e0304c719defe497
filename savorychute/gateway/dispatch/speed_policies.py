"""Policies for the use of what instances know of the speeds of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.engines.engine_speed import EvenSpeeds
from savorychute.registry import Registry

if TYPE_CHECKING:
    from savorychute.gateway.engines.engine_speed import EngineSpeeds
    from savorychute.gateway.engines.shared_speeds import SharedSpeeds


class SpeedPolicy(Protocol):
    """Tells which speeds choices and forecasts use."""

    def __call__(self, shared: SharedSpeeds) -> EngineSpeeds:
        """Return the speeds to use.

        :param shared: what instances know together.
        """
        ...


SPEED_POLICIES: Registry[SpeedPolicy] = Registry('speed policy')
# With it, engines are neither observed nor compared.
EVEN = 'even'


@SPEED_POLICIES.register(EVEN)
@SPEED_POLICIES.register('observed')
def use_even_speeds(shared: SharedSpeeds) -> EngineSpeeds:  # noqa: ARG001
    """Take all engines of a service for equally fast."""
    return EvenSpeeds()


@SPEED_POLICIES.register('used')
def use_shared_speeds(shared: SharedSpeeds) -> EngineSpeeds:
    """Place requests by what instances know together."""
    return shared
