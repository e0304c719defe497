"""The decoded head of an endpoint's response."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class ResponseKind(Enum):
    """What a response says about the execution of its request."""

    SUCCESS = auto()
    FAILURE = auto()
    NOT_RUN = auto()
    OTHER_ENDPOINT = auto()
    FOREIGN = auto()


class Naming(Enum):
    """Which request a response names by its id."""

    OWN = auto()
    OTHER = auto()
    NONE = auto()


class Disbelief(Enum):
    """Why a response is not taken as the response to its request.

    ``OTHER_REQUEST``: it names another request.  ``UNNAMED``: it names none and may be
    the late response to an earlier call.  ``NO_PROOF``: a success without the proof that
    an endpoint made it.  ``ENCODED``: a success whose body was changed on its way.
    """

    OTHER_REQUEST = 'other-request'
    UNNAMED = 'unnamed'
    NO_PROOF = 'no-proof'
    ENCODED = 'encoded'


class EndpointResponse(NamedTuple):
    """The status, the headers to forward, and the meaning of a response.

    ``NOT_RUN``: the endpoint states that it did not run the request.
    ``OTHER_ENDPOINT``: another endpoint now has the address; the request did not run.
    ``FOREIGN``: the response belongs to another request, or lacks the proof that an
    endpoint made it; ``disbelief`` is the reason.  ``is_stream`` is true for a stream of
    events.  ``is_delimited`` is false if the response has neither a length nor chunks, so
    that only the end of its connection ends it.
    ``naming`` tells whose id it bears, and ``named_id`` is that id, shortened; both are
    what the head states, whatever the kind.
    """

    kind: ResponseKind
    status: int
    headers: Sequence[tuple[str, str]]
    is_stream: bool
    retry_after_ms: int = 0
    is_delimited: bool = True
    naming: Naming = Naming.OWN
    named_id: str = ''
    disbelief: Disbelief | None = None

    def disbelieve(self, disbelief: Disbelief) -> EndpointResponse:
        """Return the response as one that is not believed.

        :param disbelief: the reason.
        """
        return self._replace(
            kind=ResponseKind.FOREIGN, is_stream=False, disbelief=disbelief
        )
