"""The registry of messages between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

M = TypeVar('M', bound=type)

PEER_MESSAGES: dict[int, type] = {}


def peer_message(tag: int) -> Callable[[M], M]:
    """Return a decorator that registers a NamedTuple as a peer message.

    Fields may be ``int``, ``float``, ``bool``, ``str``, ``bytes``, another
    NamedTuple of such fields, or ``tuple[X, ...]`` of any of these.  New fields
    must be added at the end, with a default, so that instances of different
    versions can exchange messages.

    :param tag: the message's number on the wire; must never be reused.
    """

    def register(message: M) -> M:
        if tag in PEER_MESSAGES:
            raise ValueError(f'peer message tag {tag} is registered twice')
        PEER_MESSAGES[tag] = message
        return message

    return register
