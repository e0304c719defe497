"""The interface to the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.http_response import HttpResponse
    from savorychute.inputs import ListingFetched


class ListingPort(Protocol):
    """Fetches the list over HTTP; stateless."""

    def build_fetch(self) -> HttpRequest:
        """Return the request for the list."""
        ...

    def read_listing(self, response: HttpResponse) -> ListingFetched:
        """Return the list in a response."""
        ...


LISTINGS: Registry[ListingPort] = Registry('list')
