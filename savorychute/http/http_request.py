"""An HTTP request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class HttpRequest(NamedTuple):
    """A whole request; header names are lower-case.

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
    """Return headers as they were on the wire.

    Values are read as Latin-1, in which every byte is a character; written as
    ASCII, a file name with an accent would lose its answer.

    :param headers: names and values.
    """
    return [(name.encode('ascii'), value.encode('latin-1')) for name, value in headers]
