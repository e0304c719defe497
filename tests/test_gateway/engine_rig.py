"""A model engine on virtual time, which serves requests by their rank."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from typing import NamedTuple

from gateway_fakes import STREAM

from savorychute.gateway.endpoints.engine_load import EngineLoad, RunningStream

REPORT_LAG_MS = 200
NETWORK_MS = 1
# Prompts that an engine reads side by side.
READING_AT_ONCE = 2


class Timeline:
    """Callbacks in the order of their virtual times; serves as the timers of instances."""

    def __init__(self, clock):
        self._clock = clock
        self._due = []
        self._numbers = count()

    def now_ms(self):
        return self._clock.now_ms()

    def call_later(self, delay_ms, callback):
        entry = [self._clock.now_ms() + delay_ms, next(self._numbers), callback]
        heapq.heappush(self._due, entry)
        return Cancellable(entry)

    def run_until(self, end_ms):
        while self._due and self._due[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._due)
            if callback is not None:
                self._clock.advance_to(int(due_ms))
                callback()


class Cancellable:
    """A callback that need not come."""

    def __init__(self, entry):
        self._entry = entry

    def cancel(self):
        self._entry[2] = None


class EngineKind(NamedTuple):
    """What an engine can do; a step makes a token of each stream and reads a chunk."""

    slots: int = 64
    tokens_per_ms: float = 90.0
    step_ms: float = 4.4
    stream_ms: float = 0.05
    event_tokens: int = 4
    chunk_tokens: int = 2_500


class Job:
    """A request at an engine."""

    def __init__(self, outbound, listener, number):
        self.rank = outbound.urgency
        self.prompt = outbound.request.prompt
        self.kind = outbound.request.path.split('/')[1]
        self.listener = listener
        self.order = (self.rank, number)
        self.left_tokens = 0
        self.made_tokens = 0
        self.over = False

    def __lt__(self, other):
        return self.order < other.order


class SimulatedEngine:
    """Begins the most urgent request that waits, and puts back the least urgent one.

    :param timeline: of the fleet.
    :param kind: what it can do.
    :param on_taken: called with the kind of each request that arrives.
    :param on_begun: called with the kind of each request that begins to run.
    """

    def __init__(self, timeline, kind, on_taken, on_begun):
        self._timeline = timeline
        self._kind = kind
        self._on_taken = on_taken
        self._on_begun = on_begun
        self._waiting = []
        self._reading = []
        self._running = []
        self._numbers = count()
        self._busy = False
        self._cached = set()
        self._reports = deque([(timeline.now_ms(), EngineLoad(0, 0, 0, 0))])

    # -- what instances do

    def take(self, outbound, listener):
        job = Job(outbound, listener, next(self._numbers))
        self._on_taken(job.kind)
        self._queue(job)
        if not self._busy:
            self._busy = True
            self._timeline.call_later(NETWORK_MS, self._step)
        return job

    def drop(self, job):
        job.over = True
        for jobs in (self._waiting, self._reading, self._running):
            if job in jobs:
                jobs.remove(job)
        heapq.heapify(self._waiting)

    def report(self):
        """Return the load as it was a while ago."""
        before_ms = self._timeline.now_ms() - REPORT_LAG_MS
        while len(self._reports) > 1 and self._reports[1][0] <= before_ms:
            self._reports.popleft()
        return self._reports[0][1]

    # -- what it does

    def _queue(self, job):
        prompt = job.prompt
        cached = prompt.shared_tokens if prompt.affinity in self._cached else 0
        job.left_tokens = prompt.tokens - cached + job.made_tokens
        heapq.heappush(self._waiting, job)

    def _admit(self):
        while self._waiting and len(self._reading) < READING_AT_ONCE:
            if len(self._reading) + len(self._running) >= self._kind.slots:
                last = max(self._running, default=None)
                if last is None or last.rank <= self._waiting[0].rank:
                    return
                self._running.remove(last)
                self._queue(last)
            self._reading.append(heapq.heappop(self._waiting))

    def _step(self):
        self._admit()
        if not self._reading and not self._running:
            self._busy = False
            self._note()
            return
        chunk = self._kind.chunk_tokens
        for job in self._reading:
            read = min(chunk, job.left_tokens)
            job.left_tokens -= read
            chunk -= read
        step_ms = self._kind.step_ms + self._kind.stream_ms * len(self._running)
        step_ms += (self._kind.chunk_tokens - chunk) / self._kind.tokens_per_ms
        self._note()
        self._timeline.call_later(step_ms, self._end_step)

    def _end_step(self):
        for job in list(self._running):
            self._generate(job)
        for job in [each for each in self._reading if not each.left_tokens]:
            self._reading.remove(job)
            self._cached.add(job.prompt.affinity)
            self._running.append(job)
            if not job.made_tokens:
                self._on_begun(job.kind)
                job.listener.can_send()
                job.listener.response_started(STREAM)
            if not job.over:
                self._generate(job)
        self._step()

    def _generate(self, job):
        job.made_tokens += 1
        whole = job.made_tokens >= job.prompt.answer_tokens
        if whole or job.made_tokens % self._kind.event_tokens == 1:
            number = job.made_tokens
            job.listener.response_data(b'id: %d\ndata: x\n\n' % number)
        if whole and not job.over:
            self.drop(job)
            job.listener.response_ended()

    def _note(self):
        streams = tuple(
            RunningStream(job.rank, -(-job.made_tokens // self._kind.event_tokens))
            for job in self._running
        )
        load = EngineLoad(
            len(self._waiting),
            len(self._reading),
            len(streams),
            self._waiting[0].prompt.tokens if self._waiting else 0,
            streams=streams,
        )
        self._reports.append((self._timeline.now_ms(), load))
