"""An HTTP request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_FIELDS = ('method', 'target', 'headers', 'body')


class HttpRequest:
    """A complete request; header names are in lower case.

    ``target`` is the path with its query, as on the request line.

    :param method: the method, such as ``POST``.
    :param target: the path with its query.
    :param headers: names in lower case, and values.
    :param body: the whole body.
    """

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b'',
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, HttpRequest):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in _FIELDS)

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        fields = ', '.join(f'{name}={getattr(self, name)!r}' for name in _FIELDS)
        return f'HttpRequest({fields})'

    def with_headers(self, headers: tuple[tuple[str, str], ...]) -> HttpRequest:
        """Return the same request with other headers.

        :param headers: all of its headers.
        """
        return HttpRequest(self.method, self.target, headers, self.body)

    def release(self) -> None:
        """Release the headers and the body, which are not needed any more.

        Objects that took part in a request refer to each other, and so to it, until the
        garbage collector finds them.
        """
        self.headers = ()
        self.body = b''

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
