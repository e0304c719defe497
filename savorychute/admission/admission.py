"""The registry of admission policies and what they have in common."""

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

        :param limits: by organisation.
        """

    def offer(
        self,
        request: QueuedRequest,
        predicted_wait_ms: float | None,
        now_ms: int,
        *,
        can_preempt: bool = False,
    ) -> OfferOutcome:
        """Take a request into the queue, or refuse it.

        :param request: the request.
        :param predicted_wait_ms: the time from a start to the first token at
            the best endpoint, or ``None`` if it is unknown.
        :param now_ms: the time.
        :param can_preempt: whether a resumable request of a lower tier runs
            in the same pool.
        """
        ...

    def restore(self, request: QueuedRequest, now_ms: int) -> None:
        """Take back a request that was started or running, at its old place.

        It is not refused: it was preempted, or its start failed before
        anything was sent, and its caller was promised nothing less.

        :param request: as it was when it left the queue.
        :param now_ms: the time.
        """

    def next_start(
        self,
        pool: str,
        now_ms: int,
        may_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next, if any may.

        :param pool: where a start is possible.
        :param now_ms: the time.
        :param may_start: says whether limits and credits permit a start.
        """
        ...

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request, for example because its caller left.

        :param request_id: the request.
        """
        ...

    def expire(self, now_ms: int) -> list[ShedRequest]:
        """Remove what has waited too long.

        :param now_ms: the time.
        """
        ...

    def waiting(self, pool: str) -> dict[int, int]:
        """Return how many requests wait, by tier.

        :param pool: where they wait.
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
        may_start: Callable[[QueuedRequest], bool] | None = None,
    ) -> str | None:
        """Return the running request to preempt, if any.

        :param pool: where requests wait and run.
        :param running: what runs there.
        :param now_ms: the time.
        :param may_start: says whether the waiting request could start if it
            had an endpoint; any could if there is no such function.
        """
        ...


class AdmissionFactory(Protocol):
    """What the registry holds: a class or function that makes a policy."""

    def __call__(self, settings: AdmissionSettings, rng: random.Random) -> Admission:
        """Return a new, empty queue."""
        ...


ADMISSIONS: Registry[AdmissionFactory] = Registry('admission')
