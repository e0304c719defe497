"""What really happened in a virtual run, to check promises against."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class Execution(NamedTuple):
    """An endpoint took up a request and ran it.

    ``marker`` is the call that the request belongs to, whoever sent it.
    """

    at_ms: float
    endpoint: str
    attempt_id: str
    request_id: str
    marker: str


class Arrival(NamedTuple):
    """Work reached an endpoint, whether or not it was taken up."""

    at_ms: float
    endpoint: str
    attempt_id: str
    resumed: bool


class Telling(NamedTuple):
    """An instance told a caller how a request ended."""

    at_ms: float
    instance: str
    request_id: str
    marker: str
    code: ResultCode
    ran: Ran


class Ledger:
    """Collects the facts of a run; knows nothing of any instance's state."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.tellings: list[Telling] = []
        self.leaving_ms: dict[str, float] = {}
        self.breaches: list[str] = []
        self.defects: list[str] = []
        self.on_execution: Callable[[Execution], None] | None = None

    def note_breach(self, at_ms: float, text: str) -> None:
        """Note a promise that was broken, found while the run goes on."""
        self.breaches.append(f'{at_ms:.0f} ms: {text}')
