"""A host and a port."""

from __future__ import annotations

from typing import NamedTuple


class NetworkAddress(NamedTuple):
    """The address on which a server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'
