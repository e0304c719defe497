"""Access to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.http.client_pool import ClientPool, ServerAddress


class StoreAccess(NamedTuple):
    """Connections to the store, and the record of its newest era.

    ``timeout_ms`` is the longest time that the store may take to respond.
    """

    pool: ClientPool
    address: ServerAddress
    timeout_ms: int
    era: StoreEra
