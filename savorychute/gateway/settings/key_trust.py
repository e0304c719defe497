"""How long keys are accepted without a confirmation by the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.settings.gateway_settings import GatewaySettings

# Share of the time within which a revoked key must be refused.  The rest is for
# requests that are in transit to an endpoint when keys are no longer accepted.
KEY_TRUST_SHARE = 0.9


def read_key_trust_ms(settings: GatewaySettings) -> int | None:
    """Return how long after the last confirmation keys are accepted; None for always.

    :param settings: settings of the instance.
    """
    if not settings.refuse_unconfirmed_keys:
        return None
    return int(KEY_TRUST_SHARE * settings.revoke_notice_ms)
