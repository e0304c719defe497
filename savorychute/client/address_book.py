"""Which instances a client uses."""

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
FAILED_MS = 3_000
LEAST_LIFETIME_MS = 1_000


class AddressDocument(TypedDict):
    """One address of a discovery answer."""

    host: str
    port: int


class DiscoveryDocument(TypedDict):
    """A discovery answer."""

    instances: list[AddressDocument]
    lifetime_ms: int


_decoder = msgspec.json.Decoder(DiscoveryDocument)


class AddressBook:
    """Keeps the answer to discovery for its lifetime.

    When an instance fails or leaves, the answer is out of date: its
    replacement is not in it, and if all of them were replaced nobody would be
    left to ask.  So the others are asked again at once.  An answer that has run
    out stays in use while no instance gives a new one.

    :param settings: seeds and token.
    :param pool: connections to instances.
    :param clock: the time for lifetimes.
    """

    def __init__(
        self, settings: ClientSettings, pool: ClientPool, clock: Clock
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._clock = clock
        self._known: tuple[ServerAddress, ...] = ()
        self._expiry_ms = 0
        self._asked_ms = -LEAST_LIFETIME_MS
        self._failed_ms: dict[ServerAddress, int] = {}

    async def choose(self) -> ServerAddress:
        """Return the address to use now.

        It is the first one that has not failed lately; if all have, the one
        whose failure is the longest ago.
        """
        if self._clock.now_ms() >= self._expiry_ms:
            await self._refresh()
        addresses = self._known or self._settings.seeds
        return min(addresses, key=self._rank)

    def note_failure(self, address: ServerAddress) -> None:
        """Avoid an address for a while.

        :param address: the instance that failed or is leaving.
        """
        now_ms = self._clock.now_ms()
        self._failed_ms[address] = now_ms
        earliest_ms = self._asked_ms + LEAST_LIFETIME_MS
        self._expiry_ms = min(self._expiry_ms, max(now_ms, earliest_ms))

    def _rank(self, address: ServerAddress) -> int:
        failed_ms = self._failed_ms.get(address)
        if failed_ms is None:
            return 0
        if self._clock.now_ms() - failed_ms >= FAILED_MS:
            del self._failed_ms[address]
            return 0
        return failed_ms + 1

    async def _refresh(self) -> None:
        self._asked_ms = self._clock.now_ms()
        asked = dict.fromkeys((*self._known, *self._settings.seeds))
        for address in sorted(asked, key=self._rank):
            document = await self._ask(address)
            if document is None:
                self._failed_ms[address] = self._clock.now_ms()
                continue
            self._known = tuple(
                ServerAddress(each['host'], each['port'])
                for each in document['instances']
            )
            self._expiry_ms = self._clock.now_ms() + document['lifetime_ms']
            return
        self._expiry_ms = self._asked_ms + LEAST_LIFETIME_MS

    async def _ask(self, address: ServerAddress) -> DiscoveryDocument | None:
        headers = (('authorization', f'Bearer {self._settings.token}'),)
        request = HttpRequest('GET', '/v1/instances', headers)
        outcome = await fetch(
            self._pool, address, request, self._settings.discovery_timeout_ms
        )
        if not isinstance(outcome, HttpResponse) or outcome.status != OK_STATUS:
            return None
        try:
            return _decoder.decode(outcome.body)
        except msgspec.DecodeError:
            return None
