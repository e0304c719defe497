"""Where the memory of a stopped run can be found."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress


class Continuation(NamedTuple):
    """Lets an attempt continue a run from its memory, as the same run.

    ``source`` is the address of the engine that copied the memory, ``handle`` names the
    copy, which can be used once.
    """

    source: ServerAddress
    handle: str
