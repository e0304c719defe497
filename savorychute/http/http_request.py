"""An HTTP request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class HttpRequest(NamedTuple):
    """A complete request; header names are in lower case.

    ``target`` is the path with its query, as on the request line.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first header called *name*, or an empty string.

        :param name: the lower-case name.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return ''


def encode_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes for the wire.

    Values are decoded as Latin-1, in which every byte is a character.  If they were
    encoded as ASCII, a file name with an accent would fail its response.

    :param headers: names and values.
    """
    return [(name.encode('ascii'), value.encode('latin-1')) for name, value in headers]
