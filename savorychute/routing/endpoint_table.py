"""The table of all endpoints that an instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.poll_endpoint import PollEndpoint
from savorychute.clock import MS_PER_S
from savorychute.routing.endpoint_group import EndpointGroup
from savorychute.routing.endpoint_state import EndpointState
from savorychute.routing.outstanding_attempt import OutstandingAttempt

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.load_reported import LoadReported
    from savorychute.routing.routing_settings import RoutingSettings

MIN_PREFIX_ENTRIES = 64
RECENT_USE_MS = 2_000


class EndpointTable:
    """Load, speed and cache of every endpoint, from reports and own traffic.

    :param settings: how endpoints are measured and polled.
    :param rng: spreads the first polls over an interval.
    :param failure_domain: the failure domain of this instance.
    :param region: the region of that failure domain.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        rng: random.Random,
        failure_domain: str,
        region: str,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._failure_domain = failure_domain
        self._region = region
        self._states: dict[str, EndpointState] = {}
        self._groups: dict[tuple[str, ...], EndpointGroup] = {}
        self._attempts: dict[str, EndpointState] = {}
        self._poll_allowance = 1.0
        self._allowance_filled_ms = 0

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Set the configured endpoints; the state of unchanged ones is retained."""
        for name in [name for name in self._states if name not in documents]:
            self._remove(name)
        prefix_entries = self._settings.prefix_entries // max(1, len(documents))
        for name, document in documents.items():
            old_state = self._states.get(name)
            if old_state is not None and old_state.document == document:
                continue
            self._replace(name, document, max(MIN_PREFIX_ENTRIES, prefix_entries))

    def _remove(self, name: str) -> None:
        state = self._states.pop(name)
        state.group.members.remove(state)
        for attempt_id in state.attempts:
            self._attempts.pop(attempt_id, None)

    def _replace(
        self, name: str, document: EndpointDocument, prefix_entries: int
    ) -> None:
        replaced = self._states.get(name)
        if replaced is not None:
            replaced.group.members.remove(replaced)
        group = self._group_of(document)
        state = EndpointState(
            self._settings, document, group, self._distance_ms(document), prefix_entries
        )
        state.next_poll_ms = self._rng.randrange(self._settings.poll_interval_ms)
        if replaced is not None:
            for attempt in replaced.attempts.values():
                state.adopt(attempt)
                self._attempts[attempt.attempt_id] = state
        group.members.append(state)
        self._states[name] = state

    def _group_of(self, document: EndpointDocument) -> EndpointGroup:
        service = document.get('service')
        models = document.get('models', [])
        key = ('service', service) if service else ('models', *sorted(models))
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = EndpointGroup(self._settings)
        return group

    def _distance_ms(self, document: EndpointDocument) -> float:
        if document['region'] != self._region:
            return self._settings.region_distance_ms
        if document['failure_domain'] != self._failure_domain:
            return self._settings.domain_distance_ms
        return 0.0

    def state_of(self, endpoint: str) -> EndpointState:
        """Return the state of *endpoint*.

        :raises KeyError: if it is not configured.
        """
        return self._states[endpoint]

    def is_loaded(self, endpoint: str, model: str) -> bool:
        """Return whether *endpoint* has the model loaded, or may have it.

        It may have it if the endpoint is unknown or has not reported its models.

        :param endpoint: the name of the endpoint.
        :param model: the model to be served.
        """
        state = self._states.get(endpoint)
        return state is None or state.loaded is None or model in state.loaded

    def __contains__(self, endpoint: object) -> bool:
        return endpoint in self._states

    def apply_report(self, report: LoadReported, now_ms: int) -> None:
        """Apply the load report of an endpoint."""
        state = self._states.get(report.endpoint)
        if state is not None:
            state.apply_report(report, now_ms)

    def record_start(
        self,
        attempt_id: str,
        endpoint: str,
        prompt_tokens: int,
        expected_tokens: int,  # noqa: ARG002
        prefix_hashes: Sequence[int],
        now_ms: int,
    ) -> None:
        """Count an attempt from the moment at which it is sent.

        :param prompt_tokens: the length of the prompt.
        :param expected_tokens: the expected length of the answer.
        :param prefix_hashes: the hash chain of the prompt; the endpoint caches
            these prefixes as soon as it has computed them.
        """
        state = self._states.get(endpoint)
        if state is None or attempt_id in self._attempts:
            return
        uncached = state.uncached_tokens(prompt_tokens, tuple(prefix_hashes), now_ms)
        attempt = OutstandingAttempt(
            attempt_id,
            endpoint,
            started_ms=now_ms,
            uncached_tokens=uncached,
            prefill_tokens=uncached + state.backlog_tokens,
            had_to_wait=state.load >= state.capacity,
        )
        state.record_start(attempt, now_ms)
        state.prefixes.add(prefix_hashes, now_ms)
        self._attempts[attempt_id] = state

    def record_progress(self, attempt_id: str, token_count: int, now_ms: int) -> None:
        """Record tokens of an attempt; the first call stands for the first token.

        :param token_count: the number of tokens that arrived together.
        """
        state = self._attempts.get(attempt_id)
        if state is not None:
            state.record_progress(state.attempts[attempt_id], token_count, now_ms)

    def record_finish(self, attempt_id: str, ok: bool, now_ms: int) -> None:
        """Stop counting an attempt.

        :param ok: whether its answer was complete.
        """
        state = self._attempts.pop(attempt_id, None)
        if state is not None:
            state.record_finish(state.attempts[attempt_id], ok, now_ms)

    def due_polls(self, now_ms: int) -> list[Action]:
        """Return the polls that are due, within the allowance per second.

        Endpoints in use are polled more often than idle ones, because an
        instance may know hundreds of endpoints, and control traffic is limited.
        """
        self._refill_allowance(now_ms)
        due = [state for state in self._states.values() if state.next_poll_ms <= now_ms]
        due.sort(key=lambda state: state.next_poll_ms)
        polls: list[Action] = []
        for state in due:
            if self._poll_allowance < 1:
                break
            self._poll_allowance -= 1
            state.next_poll_ms = now_ms + self._poll_interval_ms(state, now_ms)
            polls.append(make_poll(state))
        return polls

    def _refill_allowance(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._allowance_filled_ms)
        self._allowance_filled_ms = now_ms
        allowance = self._poll_allowance
        allowance += elapsed_ms * self._settings.polls_per_s / MS_PER_S
        self._poll_allowance = min(allowance, self._settings.polls_per_s)

    def _poll_interval_ms(self, state: EndpointState, now_ms: int) -> int:
        if state.outstanding or now_ms - state.last_used_ms <= RECENT_USE_MS:
            return self._settings.poll_interval_ms
        return self._settings.idle_poll_interval_ms


def make_poll(state: EndpointState) -> PollEndpoint:
    """Return the action that polls an endpoint for its load and cache events.

    :param state: the endpoint to poll.
    """
    document = state.document
    return PollEndpoint(
        document['endpoint'],
        document['dialect'],
        document['host'],
        document['port'],
        state.cache_cursor,
    )
