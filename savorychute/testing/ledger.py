"""Record of the actual events of a simulation, for the checks of invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.ran import Ran
    from savorychute.result_code import ResultCode


class Execution(NamedTuple):
    """An endpoint accepted and ran a request.

    ``marker`` is the call that the request belongs to, whichever instance sent it.
    """

    at_ms: float
    endpoint: str
    attempt_id: str
    request_id: str
    marker: str


class Arrival(NamedTuple):
    """An attempt reached an endpoint, whether or not it was accepted."""

    at_ms: float
    endpoint: str
    attempt_id: str
    resumed: bool


class ReportedOutcome(NamedTuple):
    """The outcome of a request that an instance reported to a caller."""

    at_ms: float
    instance: str
    request_id: str
    marker: str
    code: ResultCode
    ran: Ran


class Ledger:
    """Collects the events of a simulation, independently of the instances' state."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.reported_outcomes: list[ReportedOutcome] = []
        self.leaving_ms: dict[str, float] = {}
        self.violations: list[str] = []
        self.defects: list[str] = []
        self.on_execution: Callable[[Execution], None] | None = None

    def record_violation(self, at_ms: float, text: str) -> None:
        """Record a violation that was detected during the simulation."""
        self.violations.append(f'{at_ms:.0f} ms: {text}')
