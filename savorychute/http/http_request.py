"""An HTTP request."""

from __future__ import annotations

from typing import NamedTuple


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
