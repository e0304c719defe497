"""Interface to what the store holds of the origins of streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.streams.stream_origin import StreamOrigin


class MarkedVersions(NamedTuple):
    """The versions that may have begun streams, as of a moment after the question.

    ``complete`` is false if the store has gone back to an older copy, and instances have
    not written again what it may have lost.
    """

    origins: frozenset[StreamOrigin]
    complete: bool

    def only_version(self, service: str) -> StreamOrigin | None:
        """Return the only origin that streams of a service can have, or None.

        :param service: name of the service.
        """
        of_service = [each for each in self.origins if each.service == service]
        return of_service[0] if self.complete and len(of_service) == 1 else None


class OriginStore(Protocol):
    """Reads of the store, on demand and one for all that ask at a time."""

    def list_marks(self, on_done: Callable[[MarkedVersions | None], None]) -> None:
        """List the versions that may have begun streams; None if the store fails."""
        ...

    def read_records(self, on_done: Callable[[bool], None]) -> None:
        """Add the stored records to the table; false if the store fails."""
        ...
