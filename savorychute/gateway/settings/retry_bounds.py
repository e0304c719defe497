"""The bounds on retries that the settings state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.recovery.retry_allowance import RetryBounds

if TYPE_CHECKING:
    from savorychute.gateway.settings.gateway_settings import GatewaySettings


def read_retry_bounds(settings: GatewaySettings) -> RetryBounds:
    """Return the bounds on retries of all instances together.

    :param settings: settings of the instance.
    """
    window_ms = int(MS_PER_S * settings.retry_window_s)
    return RetryBounds(settings.retry_ratio, window_ms, settings.retry_slack)
