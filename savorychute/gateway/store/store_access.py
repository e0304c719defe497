"""How an instance reaches the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.http.client_pool import ClientPool, ServerAddress


class StoreAccess(NamedTuple):
    """Connections to the store, and where the era of its answers is noted.

    ``timeout_ms`` is for how long the store may be silent.
    """

    pool: ClientPool
    address: ServerAddress
    timeout_ms: int
    era: StoreEra
