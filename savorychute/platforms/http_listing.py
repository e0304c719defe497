"""Access to the platform's list of instances over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec

from savorychute.http.http_request import HttpRequest
from savorychute.inputs import ListingFetched
from savorychute.member_address import MemberAddress
from savorychute.platforms.listing_port import LISTINGS

if TYPE_CHECKING:
    from savorychute.http.http_response import HttpResponse

OK_STATUS = 200


class MemberDocument(TypedDict):
    """An instance in the list."""

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    host: str
    caller_port: int
    peer_port: int


class ListingDocument(TypedDict):
    """The list of instances."""

    live: list[MemberDocument]
    leaving: list[str]


_decoder = msgspec.json.Decoder(ListingDocument)


class HttpListing:
    """Reads the list as a JSON document."""

    def build_fetch(self) -> HttpRequest:
        """Return the request for the list."""
        return HttpRequest('GET', '/instances')

    def read_listing(self, response: HttpResponse) -> ListingFetched:
        """Return the list in a response; not ``ok`` if it is malformed.

        :param response: the complete response.
        """
        if response.status != OK_STATUS:
            return ListingFetched(ok=False)
        try:
            document = _decoder.decode(response.body)
        except (msgspec.DecodeError, RecursionError):
            return ListingFetched(ok=False)
        return ListingFetched(
            ok=True,
            live=tuple(MemberAddress(**member) for member in document['live']),
            leaving=frozenset(document['leaving']),
        )


LISTINGS.register('http')(HttpListing())
