"""What was sent, what ran, what was answered, and whether the promises hold."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

NOT_RUN = (408, 421, 429, 503)
# A leaving endpoint may still get what was on its way, besides the promised time.
DRAIN_SLACK_S = 0.5


class Sent(NamedTuple):
    """One attempt of a caller."""

    attempt: str
    kind: str
    body: bytes
    events: int
    sent_s: float


class Ledger:
    """Everything that callers and endpoints saw."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.answers: dict[str, int] = {}
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self._harms = 0
        self._calm_since_s = 0.0

    @contextmanager
    def out_of_touch(self) -> Iterator[None]:
        """Hold that some gateway cannot learn what the store says, or has just woken.

        Seed 11: the store was down while a server said that it leaves; all gateways knew
        0.35 s after its return, 2.5 s after the report.
        """
        self._harms += 1
        try:
            yield
        finally:
            self._harms -= 1
            self._calm_since_s = asyncio.get_running_loop().time()

    def in_touch_since_s(self) -> float | None:
        """Return since when all gateways can read the store; None if one cannot."""
        return None if self._harms else self._calm_since_s

    def ran(self, attempt: str, endpoint: str, key_seen: bool) -> None:
        """Note that an endpoint began to run an attempt."""
        self.runs[attempt].append(endpoint)
        if key_seen:
            self.broken.append(f"{attempt}: a caller's key reached {endpoint}")
        if attempt not in self.sent:
            self.broken.append(f'{attempt}: ran, but nobody sent it')

    def ran_late(self, attempt: str, endpoint: str, late_s: float) -> None:
        """Note a run at an endpoint that had been leaving for a while."""
        self.broken.append(f'{attempt}: ran at {endpoint}, leaving for {late_s:.2f} s')

    def answered(self, attempt: str, status: int, body: bytes, whole: bool) -> None:
        """Note an answer; ``whole`` is false for one that was visibly cut."""
        self.answers[attempt] = status
        self.counts[str(status) if whole else 'cut'] += 1
        sent = self.sent[attempt]
        if status != 200 or not whole:
            return
        if body != expected_body(sent):
            self.broken.append(f'{attempt}: a success with another body: {body[:80]!r}')

    def unanswered(self) -> None:
        """Note an attempt whose connection ended without an answer."""
        self.counts['unanswered'] += 1

    def check(self) -> list[str]:
        """Return what was broken, with what only the end shows."""
        found = list(self.broken)
        for attempt, endpoints in self.runs.items():
            sent = self.sent.get(attempt)
            if sent is None:
                continue
            if sent.kind == 'once' and len(endpoints) > 1:
                found.append(f'{attempt}: non-idempotent, ran at {endpoints}')
            if sent.kind == 'once' and self.answers.get(attempt) in NOT_RUN:
                status = self.answers[attempt]
                found.append(f'{attempt}: told {status}, but ran at {endpoints}')
        return found


def expected_body(sent: Sent) -> bytes:
    """Return the whole body of an attempt's answer."""
    if sent.kind != 'stream':
        return b'ran ' + sent.body
    return b''.join(
        make_event(sent.attempt, number) for number in range(1, sent.events + 1)
    )


def make_event(attempt: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {attempt}/{number}\n\n'.encode()
