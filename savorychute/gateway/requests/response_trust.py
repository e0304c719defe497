"""Which responses belong to their request, by what vouches for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.endpoint_response import Naming

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress

# How long an address is remembered after a response that nothing vouched for, and how
# many addresses are, those with the newest such responses.
REMEMBERED_MS = 60_000
MAX_ADDRESSES = 1_024


def is_vouched(naming: Naming, calls_before: int) -> bool:
    """Return whether a response belongs to its request.

    A late response of an earlier call can arrive in its place.  The id tells them apart;
    without one, only the first call of a connection has no other response to expect.

    :param naming: the request that the response names.
    :param calls_before: the calls that its connection had carried before.
    """
    return naming is Naming.OWN or (naming is Naming.NONE and calls_before == 0)


class UnvouchedAddresses:
    """Remembers the addresses that sent a response that nothing vouched for.

    Over new connections such responses are usable.
    """

    def __init__(self) -> None:
        self._until_ms: dict[ServerAddress, int] = {}

    def record(self, address: ServerAddress, now_ms: int) -> None:
        """Record a response that nothing vouched for.

        :param address: the endpoint.
        :param now_ms: the current time.
        """
        self._until_ms.pop(address, None)
        self._until_ms[address] = now_ms + REMEMBERED_MS
        if len(self._until_ms) > MAX_ADDRESSES:
            del self._until_ms[next(iter(self._until_ms))]

    def needs_new_connection(self, address: ServerAddress, now_ms: int) -> bool:
        """Return whether a call to an address should use a new connection.

        :param address: the endpoint.
        :param now_ms: the current time.
        """
        return now_ms < self._until_ms.get(address, 0)
