"""What an instance knows of all endpoints that it uses."""

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


class EndpointBook:
    """Load, speed and cache of every endpoint, from reports and own traffic.

    :param settings: how to measure and poll.
    :param rng: spreads the polls.
    :param failure_domain: where this instance is.
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
        self._polled_ms = 0

    def set_endpoints(self, documents: Mapping[str, EndpointDocument]) -> None:
        """Take over the configured endpoints; what is known of them is kept."""
        for name in [name for name in self._states if name not in documents]:
            self._remove(name)
        entries = self._settings.prefix_entries // max(1, len(documents))
        for name, document in documents.items():
            known = self._states.get(name)
            if known is not None and known.document == document:
                continue
            self._replace(name, document, max(MIN_PREFIX_ENTRIES, entries))

    def _remove(self, name: str) -> None:
        state = self._states.pop(name)
        state.group.members.remove(state)
        for attempt_id in state.attempts:
            self._attempts.pop(attempt_id, None)

    def _replace(self, name: str, document: EndpointDocument, entries: int) -> None:
        old = self._states.get(name)
        if old is not None:
            old.group.members.remove(old)
        group = self._group_of(document)
        state = EndpointState(
            self._settings, document, group, self._distance_ms(document), entries
        )
        state.next_poll_ms = self._rng.randrange(self._settings.poll_interval_ms)
        if old is not None:
            for attempt in old.attempts.values():
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
        """Return what is known of *endpoint*.

        :raises KeyError: if it is not configured.
        """
        return self._states[endpoint]

    def is_loaded(self, endpoint: str, model: str) -> bool:
        """Return whether *endpoint* may have the model loaded, as far as is known.

        :param endpoint: a name.
        :param model: what is to be served.
        """
        state = self._states.get(endpoint)
        return state is None or state.loaded is None or model in state.loaded

    def __contains__(self, endpoint: object) -> bool:
        return endpoint in self._states

    def report(self, report: LoadReported, now_ms: int) -> None:
        """Take in an endpoint's load report."""
        state = self._states.get(report.endpoint)
        if state is not None:
            state.take_report(report, now_ms)

    def started(
        self,
        attempt_id: str,
        endpoint: str,
        prompt_tokens: int,
        expected_tokens: int,  # noqa: ARG002
        prefix_hashes: Sequence[int],
        now_ms: int,
    ) -> None:
        """Count an attempt from the moment at which it is sent.

        :param prompt_tokens: the prompt's length.
        :param expected_tokens: the answer's expected length.
        :param prefix_hashes: the prompt's hash chain; the endpoint will hold
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
            waited=state.load >= state.capacity,
        )
        state.start(attempt, now_ms)
        state.prefixes.add(prefix_hashes, now_ms)
        self._attempts[attempt_id] = state

    def progress(self, attempt_id: str, token_count: int, now_ms: int) -> None:
        """Take note of tokens of an attempt; the first call is the first token.

        :param token_count: how many tokens arrived together.
        """
        state = self._attempts.get(attempt_id)
        if state is not None:
            state.progress(state.attempts[attempt_id], token_count, now_ms)

    def finished(self, attempt_id: str, ok: bool, now_ms: int) -> None:
        """Stop counting an attempt.

        :param ok: whether its answer came whole.
        """
        state = self._attempts.pop(attempt_id, None)
        if state is not None:
            state.finish(state.attempts[attempt_id], ok, now_ms)

    def due_polls(self, now_ms: int) -> list[Action]:
        """Return the polls that are due, within the allowance per second.

        Endpoints in use are polled often, idle ones seldom: an instance may
        know hundreds of endpoints, and control traffic is bounded.
        """
        self._fill_allowance(now_ms)
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

    def _fill_allowance(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._polled_ms)
        self._polled_ms = now_ms
        allowance = self._poll_allowance
        allowance += elapsed_ms * self._settings.polls_per_s / MS_PER_S
        self._poll_allowance = min(allowance, self._settings.polls_per_s)

    def _poll_interval_ms(self, state: EndpointState, now_ms: int) -> int:
        if state.outstanding or now_ms - state.used_ms <= RECENT_USE_MS:
            return self._settings.poll_interval_ms
        return self._settings.idle_poll_interval_ms


def make_poll(state: EndpointState) -> PollEndpoint:
    """Return the action that asks an endpoint for its load and cache events.

    :param state: the endpoint to ask.
    """
    document = state.document
    return PollEndpoint(
        document['endpoint'],
        document['dialect'],
        document['host'],
        document['port'],
        state.cache_cursor,
    )
