"""Documents by name, stored as encoded JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Generic, TypeVar

import msgspec

D = TypeVar('D')


class DocumentTable(Mapping[str, D], Generic[D]):
    """A read-only mapping that decodes a document at each lookup.

    A decoded contract takes about ten times the memory of its JSON, and most are
    looked up only when they change.  Code on the request path stores the values
    that it derives from a document, not the document.

    :param document_type: the TypedDict of the decoded documents.
    """

    def __init__(self, document_type: type[D]) -> None:
        self._decoder = msgspec.json.Decoder(document_type)
        self._encoded: dict[str, bytes] = {}

    def __getitem__(self, name: str) -> D:
        return self._decoder.decode(self._encoded[name])

    def __iter__(self) -> Iterator[str]:
        return iter(self._encoded)

    def __len__(self) -> int:
        return len(self._encoded)

    def encoded(self, name: str) -> bytes | None:
        """Return the document's canonical JSON, or None.

        :param name: the organisation or endpoint.
        """
        return self._encoded.get(name)

    def put(self, name: str, encoded: bytes) -> None:
        """Set the document of *name*.

        :param encoded: its canonical JSON.
        """
        self._encoded[name] = encoded

    def remove(self, name: str) -> None:
        """Remove the document of *name*, which must exist."""
        del self._encoded[name]
