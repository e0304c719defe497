"""For how long keys are accepted without a confirmation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.settings.gateway_settings import GatewaySettings

# The rest is for a request that is on its way to an endpoint when the trust ends.
TRUST_SHARE = 0.9


def key_trust_ms(settings: GatewaySettings) -> int | None:
    """Return the time after the last confirmation, or None for any time.

    :param settings: of the instance.
    """
    if not settings.refuse_unconfirmed_keys:
        return None
    return int(TRUST_SHARE * settings.revoke_notice_ms)
