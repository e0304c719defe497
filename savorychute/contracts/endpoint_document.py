"""An endpoint in the form that operators enter."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class EndpointDocument(TypedDict):
    """A model engine or a plain service.

    ``dialect`` names an entry of :data:`savorychute.endpoints.DIALECTS`.
    ``state`` is ``active``, ``draining`` or ``retired``.
    """

    endpoint: str
    dialect: str
    host: str
    port: int
    region: str
    failure_domain: str
    state: str
    concurrent_requests: int
    models: NotRequired[list[str]]
    service: NotRequired[str]
    checks_fencing: NotRequired[bool]
    outstanding_tokens: NotRequired[int]
