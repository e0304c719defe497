"""What vouches for the response to an attempt, for log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.log_identifier import make_identifier
from savorychute.gateway.requests.endpoint_response import Naming

if TYPE_CHECKING:
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.endpoint_response import EndpointResponse
    from savorychute.logs import Value


class ResponseEvidence(NamedTuple):
    """The response to an attempt and the connection that carried it.

    ``response`` is None if no head of a response arrived.  ``connection`` is the number
    of the connection, 0 if the attempt was not sent, and ``calls_before`` the number of
    calls that went before on it.
    """

    response: EndpointResponse | None = None
    connection: int = 0
    calls_before: int = 0

    def list_connection_fields(self) -> dict[str, Value]:
        """Return whether the response names its request, and its connection."""
        response = self.response
        return {
            'naming': None if response is None else response.naming.name.lower(),
            'connection': self.connection,
            'calls_before': self.calls_before,
        }

    def list_fields(self) -> dict[str, Value]:
        """Return all fields for the line of an attempt."""
        response = self.response
        if response is None:
            fields: dict[str, Value] = {'status': None, 'disbelieved': None}
        else:
            disbelief = response.disbelief
            fields = {
                'status': response.status,
                'disbelieved': '' if disbelief is None else disbelief.value,
            }
            if response.naming is Naming.OTHER:
                fields['named_id'] = make_identifier(response.named_id)
        return fields | self.list_connection_fields()


def collect_evidence(attempt: Attempt | None) -> ResponseEvidence:
    """Return the evidence of an attempt; None for a request that had none.

    :param attempt: the last attempt of a request.
    """
    if attempt is None or attempt.running is None:
        return ResponseEvidence()
    running = attempt.running
    return ResponseEvidence(
        attempt.response, running.connection_number, running.calls_before
    )
