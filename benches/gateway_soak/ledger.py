"""Records of attempts, executions and responses, and the check of the guarantees."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from resuming_caller import Stream

# Software versions of the endpoints that generate streams.
VERSIONS = ('v1', 'v2', 'v3')
STATUS_OK = 200
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Beyond the drain limit, a leaving endpoint may get requests that were in transit.
DRAIN_SLACK_S = 0.5
MS_PER_S = 1_000
# Kinds of request that may run once.
ONCE_KINDS = ('once', 'events')
STREAM_KINDS = ('stream', 'events')
# Rules, which begin the lines of their violations.
TWICE, REFUSED, MIXED, LOST = 'TWICE', 'REFUSED', 'MIXED', 'LOST'


class SentAttempt(NamedTuple):
    """One attempt of a caller."""

    attempt: str
    kind: str
    body: bytes
    events: int
    sent_s: float


class Proof(NamedTuple):
    """What an endpoint proves with a response."""

    attempt: str
    status: int


class Ledger:
    """Records what callers and endpoints observed."""

    def __init__(self) -> None:
        self.sent: dict[str, SentAttempt] = {}
        self.executions: dict[str, list[str]] = defaultdict(list)
        self.statuses: dict[str, int] = {}
        self.counts: Counter[str] = Counter()
        # Calls that endpoints got, and responses of theirs that were faulty.
        self.traffic: Counter[str] = Counter()
        self.violations: list[str] = []
        self._proofs: dict[str, Proof] = {}
        self._run_times_s: dict[str, float] = {}
        self._response_times_s: dict[str, float] = {}
        self._unanswered: set[str] = set()
        self._open_disturbances = 0
        self._reachable_since_s = 0.0

    @contextmanager
    def store_unreachable(self) -> Iterator[None]:
        """Mark a time in which some gateway cannot read the store or is suspended.

        With seed 11, the store was down while a server announced that it leaves; all
        gateways received this 0.35 s after the store's return, 2.5 s after the report.
        """
        self._open_disturbances += 1
        try:
            yield
        finally:
            self._open_disturbances -= 1
            self._reachable_since_s = asyncio.get_running_loop().time()

    def store_reachable_since_s(self) -> float | None:
        """Return since when all gateways can read the store, or None if one cannot."""
        return None if self._open_disturbances else self._reachable_since_s

    def record_execution(
        self, attempt: str, endpoint: str, has_caller_key: bool
    ) -> None:
        """Record that an endpoint started to run an attempt."""
        self.executions[attempt].append(endpoint)
        self._run_times_s[attempt] = asyncio.get_running_loop().time()
        if has_caller_key:
            self.violations.append(f"{attempt}: a caller's key reached {endpoint}")
        if attempt not in self.sent:
            self.violations.append(f'{attempt}: ran, but no caller sent it')

    def record_late_execution(self, attempt: str, endpoint: str, late_s: float) -> None:
        """Record an execution that an endpoint started after its drain limit."""
        self.violations.append(
            f'{attempt}: ran at {endpoint}, leaving for {late_s:.2f} s'
        )

    def make_proof(self, endpoint: str, attempt: str, status: int) -> str:
        """Return a proof that an endpoint sends with one response.

        :param endpoint: the endpoint.
        :param attempt: the attempt that it responds to.
        :param status: the status of the response.
        """
        proof = f'{endpoint}.{len(self._proofs)}'
        self._proofs[proof] = Proof(attempt, status)
        return proof

    def record_status(self, attempt: str, status: int) -> None:
        """Record the status of a response whose body may be truncated."""
        self.statuses[attempt] = status
        self._response_times_s[attempt] = asyncio.get_running_loop().time()

    def record_response(
        self,
        attempt: str,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Record a complete response."""
        self.record_status(attempt, status)
        self.counts[str(status)] += 1
        sent = self.sent[attempt]
        if headers.get('attempt-id', attempt) != attempt:
            named = headers['attempt-id']
            self._add(MIXED, f'{attempt}: got the {status} of {named}')
        self._check_proof(attempt, status, headers.get('server-signature'))
        if status == STATUS_OK and body not in expected_bodies(sent):
            self._add(MIXED, f'{attempt}: a success with another body: {body[:80]!r}')

    def _check_proof(self, attempt: str, status: int, proof: str | None) -> None:
        if proof is None:
            if status == STATUS_OK:
                self._add(MIXED, f'{attempt}: a success without a proof')
            return
        if self._proofs.get(proof) != Proof(attempt, status):
            stated = self._proofs.get(proof)
            self._add(MIXED, f'{attempt}: got {status} with the proof of {stated}')

    def _add(self, rule: str, text: str) -> None:
        self.violations.append(f'{rule} {text}')

    def record_stream(self, stream: Stream, events: int) -> None:
        """Record what a caller received of a stream over all its tries.

        :param stream: the events, and the tries.
        :param events: the number of events of the whole stream.
        """
        name = stream.tries[0].attempt
        self.counts['resumed'] += len(stream.resumptions)
        self.counts['gone-on'] += sum(each.first_event for each in stream.resumptions)
        versions = set()
        for event in stream.events:
            attempt, number, version = event.data.split('/')
            versions.add(version)
            if (attempt, int(number)) != (event.attempt, event.number):
                self.violations.append(f'{name}: an event of another stream: {event}')
        if len(versions) > 1:
            self.violations.append(f'{name}: events of versions {sorted(versions)}')
        numbers = [event.number for event in stream.events]
        if numbers != list(range(1, len(numbers) + 1)):
            self.violations.append(f'{name}: events {numbers}')
        if stream.whole and len(numbers) != events:
            self.violations.append(f'{name}: complete after {len(numbers)} events')

    def served(self, attempt: str) -> bool:
        """Return whether an attempt succeeded."""
        return self.statuses.get(attempt) == STATUS_OK

    def record_unanswered(self, attempt: str, reason: str = 'unanswered') -> None:
        """Record an attempt that ended without a complete response."""
        self.counts[reason] += 1
        self._unanswered.add(attempt)

    def check(self, *, is_planned: bool = False) -> list[str]:
        """Return all violations, including those that only the full records show.

        :param is_planned: whether nothing but planned work disturbed the gateways, so
            that no request that ran may stay without a response.
        """
        violations = list(self.violations)
        for attempt, endpoints in self.executions.items():
            sent = self.sent.get(attempt)
            if sent is None:
                continue
            if sent.kind in ONCE_KINDS:
                violations += self._check_once(attempt, endpoints)
            if is_planned and attempt in self._unanswered:
                violations.append(f'{LOST} {attempt}: no response, ran at {endpoints}')
        return violations

    def _check_once(self, attempt: str, endpoints: list[str]) -> list[str]:
        violations = []
        if len(endpoints) > 1:
            violations.append(f'{TWICE} {attempt}: ran at {endpoints}')
        status = self.statuses.get(attempt)
        if status in NOT_EXECUTED_STATUSES:
            begun_s = self._run_times_s[attempt] - self._response_times_s[attempt]
            violations.append(
                f'{REFUSED} {attempt}: got {status}, ran at {endpoints}, '
                f'begun {begun_s * MS_PER_S:+.0f} ms from the response'
            )
        return violations


def expected_bodies(sent: SentAttempt) -> list[bytes]:
    """Return the possible bodies of the response to an attempt, one a version."""
    if sent.kind not in STREAM_KINDS:
        return [b'ran ' + sent.body]
    numbers = range(1, sent.events + 1)
    return [
        b''.join(make_event(sent.attempt, number, version) for number in numbers)
        for version in VERSIONS
    ]


def make_event(attempt: str, number: int, version: str) -> bytes:
    """Return one event of a stream, which says what generated it."""
    return f'id: {number}\ndata: {attempt}/{number}/{version}\n\n'.encode()
