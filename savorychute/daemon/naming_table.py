"""Which endpoints name the request in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress

MAX_ADDRESSES = 4096


class NamingTable:
    """Remembers for each address whether its latest response named the request.

    A connection is reused only where responses name their request: no other response
    can be told from a late one to an earlier request.
    """

    def __init__(self) -> None:
        self._naming: dict[ServerAddress, bool] = {}

    def find(self, address: ServerAddress) -> bool | None:
        """Return whether responses name the request; None if that is not known.

        :param address: the endpoint.
        """
        return self._naming.get(address)

    def record(self, address: ServerAddress, named: bool) -> None:
        """Record a response, and forget the address that was added first if full.

        :param address: the endpoint.
        :param named: whether its response named a request.
        """
        self._naming[address] = named
        if len(self._naming) > MAX_ADDRESSES:
            del self._naming[next(iter(self._naming))]
