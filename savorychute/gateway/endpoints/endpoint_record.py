"""What one instance knows of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry


class EndpointRecord:
    """An endpoint's entry, its health, and what this instance has there.

    :param entry: what the platform lists.
    """

    __slots__ = (
        'entry',
        'health',
        'heard_ms',
        'missing_until_ms',
        'outstanding',
        'prefill_tokens',
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.health = EndpointHealth()
        self.heard_ms = 0
        self.outstanding = 0
        self.prefill_tokens = 0
        self.missing_until_ms: int | None = None

    def begin(self, prompt_tokens: int) -> None:
        """Count a request that is sent there.

        :param prompt_tokens: what it is expected to read anew.
        """
        self.outstanding += 1
        self.prefill_tokens += prompt_tokens

    def end_prefill(self, prompt_tokens: int) -> None:
        """Note that a request has begun to generate, or is gone."""
        self.prefill_tokens -= prompt_tokens

    def end(self) -> None:
        """Note that a request is no longer there."""
        self.outstanding -= 1
