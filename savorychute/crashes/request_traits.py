"""What a request may have in common with others that crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


class RequestTraits(NamedTuple):
    """The traits of a request, as digests.

    ``request`` is shared by all tries of the request, each of the ``parts`` also by
    other requests that have this part in their prompts.
    """

    request: int
    parts: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        """All traits, those of the parts first."""
        return (*self.parts, self.request)


def make_traits(fingerprint: str, parts: Iterable[str] = ()) -> RequestTraits:
    """Return the traits of a request.

    :param fingerprint: a text that all tries of the request share.
    :param parts: the parts of its prompt that other requests may share, as hexadecimal
        identifiers of any length.
    """
    digests = dict.fromkeys(_make_digest(f'part {part.lower()}') for part in parts)
    return RequestTraits(_make_digest(f'request {fingerprint}'), tuple(digests))


def _make_digest(text: str) -> int:
    """Return a hash that fits a signed integer of 64 bits."""
    return int(xxhash.xxh3_64_intdigest(text.encode())) >> 1
