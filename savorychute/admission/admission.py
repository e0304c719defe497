"""The registry of admission policies and their common interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from savorychute.admission.offer_outcome import OfferOutcome
    from savorychute.admission.queued_request import QueuedRequest
    from savorychute.admission.running_request import RunningRequest
    from savorychute.admission.settings import AdmissionSettings
    from savorychute.admission.shed_request import ShedRequest
    from savorychute.contracts.organisation_limits import OrganisationLimits


class Admission(Protocol):
    """The queue of one instance and the policy that orders it."""

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Replace the limits of all organisations.

        :param limits: the limits by organisation.
        """

    def offer(
        self,
        request: QueuedRequest,
        predicted_wait_ms: float | None,
        now_ms: int,
        *,
        can_preempt: bool = False,
    ) -> OfferOutcome:
        """Add a request to the queue, or refuse it.

        :param request: the request.
        :param predicted_wait_ms: the predicted time from the start to the
            first token at the best endpoint, or ``None`` if it is unknown.
        :param now_ms: the current time.
        :param can_preempt: whether a resumable request of a lower tier runs
            in the same pool.
        """
        ...

    def restore(self, request: QueuedRequest, now_ms: int) -> None:
        """Return a started or running request to its former queue position.

        The request is never refused: it was admitted before, and was then
        preempted or failed to start before anything was sent.

        :param request: the request as it was when it left the queue.
        :param now_ms: the current time.
        """

    def next_start(
        self,
        pool: str,
        now_ms: int,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next, if any can.

        :param pool: the pool in which a start is possible.
        :param now_ms: the current time.
        :param can_start: returns whether limits and credits permit the start
            of a request.
        """
        ...

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request, for example because its caller disconnected.

        :param request_id: the id of the request.
        """
        ...

    def expire(self, now_ms: int) -> list[ShedRequest]:
        """Remove and return the requests that have waited too long.

        :param now_ms: the current time.
        """
        ...

    def waiting(self, pool: str) -> dict[int, int]:
        """Return the number of waiting requests by tier.

        :param pool: the pool in which they wait.
        """
        ...

    def pools(self) -> list[str]:
        """Return the pools with waiting requests."""
        ...

    def preemption(
        self,
        pool: str,
        running: Sequence[RunningRequest],
        now_ms: int,
        can_start: Callable[[QueuedRequest], bool] | None = None,
    ) -> str | None:
        """Return the id of the running request to preempt, if any.

        :param pool: the pool in which requests wait and run.
        :param running: the requests that run in the pool.
        :param now_ms: the current time.
        :param can_start: returns whether a waiting request could start if it
            had an endpoint; without this function, every request could.
        """
        ...


class AdmissionFactory(Protocol):
    """A class or function that creates an admission policy."""

    def __call__(self, settings: AdmissionSettings, rng: random.Random) -> Admission:
        """Return a new, empty queue."""
        ...


ADMISSIONS: Registry[AdmissionFactory] = Registry('admission')
