"""The addresses of the instances that a client uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec

from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.http.http_response import HttpResponse
from savorychute.http.timed_call import fetch

if TYPE_CHECKING:
    from savorychute.client.client_settings import ClientSettings
    from savorychute.clock import Clock
    from savorychute.http.client_pool import ClientPool

OK_STATUS = 200
FAILURE_MEMORY_MS = 3_000
MIN_LIFETIME_MS = 1_000


class AddressDocument(TypedDict):
    """One address in a discovery response."""

    host: str
    port: int


class DiscoveryDocument(TypedDict):
    """A discovery response."""

    instances: list[AddressDocument]
    lifetime_ms: int


_decoder = msgspec.json.Decoder(DiscoveryDocument)


class AddressTable:
    """Caches the discovery response for its lifetime.

    When an instance fails or leaves, the response is obsolete: it lacks the
    replacement, and if all instances were replaced, none of its addresses could
    be queried any more.  So the other instances are queried again at once.  An
    expired response stays in use until an instance returns a new one.

    :param settings: the seeds and the token.
    :param pool: the connections to instances.
    :param clock: the clock for lifetimes.
    """

    def __init__(
        self, settings: ClientSettings, pool: ClientPool, clock: Clock
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._clock = clock
        self._addresses: tuple[ServerAddress, ...] = ()
        self._expiry_ms = 0
        self._queried_ms = -MIN_LIFETIME_MS
        self._failed_ms: dict[ServerAddress, int] = {}

    async def choose(self) -> ServerAddress:
        """Return the address to use now.

        It is the first one without a recent failure, or if all have failed
        recently, the one whose failure is the oldest.
        """
        if self._clock.now_ms() >= self._expiry_ms:
            await self._refresh()
        addresses = self._addresses or self._settings.seeds
        return min(addresses, key=self._sort_key)

    def record_failure(self, address: ServerAddress) -> None:
        """Avoid an address for some time.

        :param address: the instance that failed or is leaving.
        """
        now_ms = self._clock.now_ms()
        self._failed_ms[address] = now_ms
        earliest_ms = self._queried_ms + MIN_LIFETIME_MS
        self._expiry_ms = min(self._expiry_ms, max(now_ms, earliest_ms))

    def _sort_key(self, address: ServerAddress) -> int:
        failed_ms = self._failed_ms.get(address)
        if failed_ms is None:
            return 0
        if self._clock.now_ms() - failed_ms >= FAILURE_MEMORY_MS:
            del self._failed_ms[address]
            return 0
        return failed_ms + 1

    async def _refresh(self) -> None:
        self._queried_ms = self._clock.now_ms()
        candidates = dict.fromkeys((*self._addresses, *self._settings.seeds))
        for address in sorted(candidates, key=self._sort_key):
            document = await self._query(address)
            if document is None:
                self._failed_ms[address] = self._clock.now_ms()
                continue
            self._addresses = tuple(
                ServerAddress(each['host'], each['port'])
                for each in document['instances']
            )
            self._expiry_ms = self._clock.now_ms() + document['lifetime_ms']
            return
        self._expiry_ms = self._queried_ms + MIN_LIFETIME_MS

    async def _query(self, address: ServerAddress) -> DiscoveryDocument | None:
        headers = (('authorization', f'Bearer {self._settings.token}'),)
        request = HttpRequest('GET', '/v1/instances', headers)
        result = await fetch(
            self._pool, address, request, self._settings.discovery_timeout_ms
        )
        if not isinstance(result, HttpResponse) or result.status != OK_STATUS:
            return None
        try:
            return _decoder.decode(result.body)
        except msgspec.DecodeError:
            return None
