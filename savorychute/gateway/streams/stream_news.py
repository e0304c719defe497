"""The message by which instances tell each other the origins of streams."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.streams.origin_group import OriginGroup  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


class VersionMark(NamedTuple):
    """A version that the store marks; a ``stamp`` of 0 says that it does not any more."""

    service: str
    version: str
    stamp: int


@peer_message(98)
class StreamNews(NamedTuple):
    """Origins of streams, and changes of the versions that may begin some.

    ``answered`` holds the concatenated keys of the question that this responds to; a key
    that is in no group is not known to the sender.
    """

    groups: tuple[OriginGroup, ...] = ()
    answered: bytes = b''
    marks: tuple[VersionMark, ...] = ()
