"""An engine that copies the memory of its runs to others, and continues theirs."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from itertools import count
from typing import NamedTuple

from fleet_fixture import FakeEndpoint

from savorychute.testing.stand_in_http import LOOPBACK, respond_json

EVENTS = 36
EVENT_INTERVAL_S = 0.1
PREFILL_S = 0.1
CALL_S = 0.002
SLOTS = 64
TOKENS = 9_000
TOKENS_PER_EVENT = 5
KV_TOKENS = 600_000
HANDLE_S = 3.0


class Work(NamedTuple):
    """A span in which an engine worked on a run."""

    engine: str
    begins_s: float
    ends_s: float


class MoveJournal:
    """What all engines did, and hooks for tests that disturb a step.

    ``on_step`` is called with the name of a step, the source, the target and the attempt.

    :param token_s: time in which a link carries the memory of a token.
    """

    def __init__(self, token_s=6.4e-6):
        self.token_s = token_s
        self.engines = {}
        self.work = {}
        # How often each attempt was started without the memory of an earlier run.
        self.executions = Counter()
        self.steps = Counter()
        self.on_step = None
        self.loses_response = None
        self._numbers = count(1)

    def make_handle(self):
        return f'h{next(self._numbers)}'

    def step(self, name, source, target, attempt):
        self.steps[name] += 1
        if self.on_step is not None:
            self.on_step(name, source, target, attempt)

    def longest_overlap_s(self):
        """Return for how long two engines worked on one run at most."""
        longest_s = 0.0
        for spans in self.work.values():
            for one in spans:
                for other in spans:
                    if one.engine != other.engine:
                        ends_s = min(one.ends_s, other.ends_s)
                        begins_s = max(one.begins_s, other.begins_s)
                        longest_s = max(longest_s, ends_s - begins_s)
        return longest_s


class Run:
    """A run, and the number of events that it has generated."""

    def __init__(self, attempt, exchange, created=0):
        self.attempt = attempt
        self.exchange = exchange
        self.created = created
        self.task = None

    @property
    def tokens(self):
        return TOKENS + self.created * TOKENS_PER_EVENT


class MemoryCopy:
    """A copy at a target, and the memory that the source keeps for it."""

    def __init__(self, handle, run, target):
        self.handle = handle
        self.run = run
        self.target = target
        self.tokens = 0
        self.created = 0
        self.is_complete = False
        self.has_stopped = False
        self.timer = None


class MovingEngine(FakeEndpoint):
    """Generates streams in slots, moves them, and ends at the end of its notice.

    :param name: name of the engine.
    :param journal: shared by all engines.
    """

    def __init__(self, name, journal):
        super().__init__(name, 'pool', is_engine=True)
        self.journal = journal
        self.runs = {}
        self.copies = {}
        # Copies of the runs of other engines, which hold memory and a slot here.
        self.received_copies = {}
        self.is_down = False
        self.refuses_copies = False
        self.slots = SLOTS
        self.expired = 0
        self._copying = set()
        self._link_free_s = 0.0
        self._ends_s = None
        self._exchanges = set()
        self._sequence = 1

    # -- life

    def entry(self, **fields):
        self.journal.engines[f'{LOOPBACK}:{self.port}'] = self
        self._sequence += 1
        stated = {'slots': self.slots, 'sequence': self._sequence, 'version': 'v1'}
        return super().entry(**(stated | fields))

    def leave(self, notice_s):
        """Announce the end, and end after the notice."""
        self._ends_s = self._now_s() + notice_s
        self.statement_headers = (('server-leaving', '1'),)
        asyncio.get_running_loop().call_later(notice_s, self.crash)

    def crash(self):
        """End now, with all runs and copies."""
        if self.is_down:
            return
        self.is_down = True
        for run in tuple(self.runs.values()):
            run.task.cancel()
        for exchange in tuple(self._exchanges):
            exchange.abort()
        for copy in (*self.copies.values(), *self.received_copies.values()):
            copy.timer.cancel()
        for copy in tuple(self.received_copies.values()):
            copy.is_complete = False
        self.runs.clear()
        self.copies.clear()
        self.received_copies.clear()

    def _now_s(self):
        return asyncio.get_running_loop().time()

    @property
    def used_slots(self):
        return len(self.runs) + len(self.received_copies)

    def _report(self):
        runs = [[run.attempt, run.tokens, run.created, 0] for run in self.runs.values()]
        used = sum(run.tokens for run in self.runs.values())
        used += sum(copy.tokens for copy in self.received_copies.values())
        report = {
            'waiting': 0,
            'running': self.used_slots,
            'runs': runs,
            'state': 'ready' if self._ends_s is None else 'draining',
            'kvUsed': used,
            'kvTotal': KV_TOKENS,
            'handles': len(self.received_copies),
        }
        if self._ends_s is not None:
            report['leaves_ms'] = round(1_000 * (self._ends_s - self._now_s()))
        return json.dumps(report).encode()

    # -- calls

    def handle(self, exchange):
        if self.is_down:
            exchange.abort()
            return
        self._exchanges.add(exchange)
        super().handle(exchange)

    async def _respond(self, exchange):
        try:
            await asyncio.sleep(CALL_S)
            request = exchange.request
            if request.target == '/-/report':
                exchange.respond(200, self.statement_headers, self._report())
            elif request.target == '/-/kv-move':
                await self._move(exchange, json.loads(request.body))
            elif request.method == 'DELETE':
                self._free(request.target.rpartition('/')[2])
                exchange.respond(200, (), b'')
            else:
                await self._start_run(exchange, dict(request.headers))
        finally:
            self._exchanges.discard(exchange)

    # -- runs

    async def _start_run(self, exchange, headers):
        attempt = headers['attempt-id']
        named = ('attempt-id', attempt)
        if headers.get('target-instance') != self.name:
            exchange.respond(421, (named,), b'')
            return
        last_event = int(headers.get('last-event-id', 0))
        run = Run(attempt, exchange, last_event)
        prefill_s = PREFILL_S
        source_handle = headers.get('kv-from', '')
        if source_handle:
            address, _, handle = source_handle.partition('/')
            copy = self._use_copy(address, handle, attempt)
            if copy is None:
                exchange.respond(503, (named,), b'')
                return
            # What the copy lacks is read.
            missing = max(0, last_event - copy.created)
            prefill_s = PREFILL_S * missing * TOKENS_PER_EVENT / TOKENS
            source = self.journal.engines[address]
            self.journal.step('continued', source, self, attempt)
            if self.is_down:
                return
        elif self._ends_s is not None or self.used_slots >= self.slots:
            refusal = (named, ('not-executed', '1'), *self.statement_headers)
            exchange.respond(503, refusal, b'')
            return
        else:
            self.journal.executions[attempt] += 1
        run.task = asyncio.current_task()
        self.runs[attempt] = run
        exchange.on_left = run.task.cancel
        begins_s = self._now_s()
        try:
            await self._generate(run, prefill_s)
        finally:
            work = Work(self.name, begins_s, self._now_s())
            self.journal.work.setdefault(attempt, []).append(work)
            if self.runs.get(attempt) is run:
                del self.runs[attempt]

    async def _generate(self, run, prefill_s):
        await asyncio.sleep(prefill_s)
        exchange = run.exchange
        proof = [('attempt-id', run.attempt), ('server-signature', self.name)]
        stream = ('content-type', 'text/event-stream')
        exchange.start(200, [*proof, stream, *self.statement_headers])
        while run.created < EVENTS:
            run.created += 1
            exchange.send(f'id: {run.created}\ndata: v1-{run.created}\n\n'.encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        exchange.finish()

    # -- copies

    async def _move(self, exchange, order):
        attempt, is_last = order['id'], order['last']
        run = self.runs.get(attempt)
        target = self.journal.engines.get(order['target'])
        if run is None:
            exchange.respond(404, (), b'')
            return
        if attempt in self._copying:
            exchange.respond(409, (), b'')
            return
        self._copying.add(attempt)
        try:
            await self._copy(exchange, run, target, is_last)
        finally:
            self._copying.discard(attempt)

    async def _copy(self, exchange, run, target, is_last):
        name = 'last' if is_last else 'first'
        copy = self._find_copy(run, target)
        self.journal.step(f'{name}-begun', self, target, run.attempt)
        if is_last and not self.is_down:
            self._stop(run)
            copy.has_stopped = True
            self.copies[copy.handle] = copy
        has_room = copy.handle in target.received_copies or (
            not target.refuses_copies and target.used_slots < target.slots
        )
        if target.is_down or not has_room:
            self._respond_to_copy(exchange, 503, copy)
            return
        self._hold(copy)
        created, new_tokens = run.created, run.tokens - copy.tokens
        await asyncio.sleep(self._queue(target, new_tokens) - self._now_s())
        if self.is_down:
            return
        if target.is_down:
            self._respond_to_copy(exchange, 503, copy)
            return
        copy.tokens, copy.created = copy.tokens + new_tokens, created
        copy.is_complete = True
        self.journal.step(f'{name}-complete', self, target, run.attempt)
        if self.is_down:
            return
        self._respond_to_copy(exchange, 200, copy)

    def _respond_to_copy(self, exchange, status, copy):
        if self.journal.loses_response is not None and self.journal.loses_response(
            copy.has_stopped
        ):
            exchange.abort()
            return
        document = {'created': copy.created}
        if status == 200 or copy.has_stopped:
            document['handle'] = copy.handle
        respond_json(exchange, status, document)

    def _queue(self, target, tokens):
        """Return when a copy of some tokens is complete, behind others on both links."""
        begins_s = max(self._now_s(), self._link_free_s, target._link_free_s)
        ends_s = begins_s + tokens * self.journal.token_s
        self._link_free_s = target._link_free_s = ends_s
        return ends_s

    def _stop(self, run):
        """Stop a run, and close its stream without its end."""
        run.task.cancel()
        run.exchange.abort()

    def _find_copy(self, run, target):
        for copy in self.copies.values():
            if copy.run is run and copy.target is target:
                return copy
        return MemoryCopy(self.journal.make_handle(), run, target)

    def _hold(self, copy):
        self.copies[copy.handle] = copy
        copy.target.received_copies[copy.handle] = copy
        if copy.timer is not None:
            copy.timer.cancel()
        loop = asyncio.get_running_loop()
        copy.timer = loop.call_later(HANDLE_S, self._expire, copy.handle)

    def _expire(self, handle):
        if handle in self.copies:
            self.expired += 1
        self._free(handle)

    def _free(self, handle):
        copy = self.copies.pop(handle, None)
        if copy is None:
            return
        copy.target.received_copies.pop(handle, None)
        if copy.timer is not None:
            copy.timer.cancel()

    def _use_copy(self, address, handle, attempt):
        """Return a copy that may be used here, and use it up; None if there is none."""
        source = self.journal.engines[address]
        copy = self.copies.get(handle)
        if source is self:
            if copy is None or not copy.has_stopped or copy.run.attempt != attempt:
                return None
            copy.created = copy.run.created
        else:
            copy = self.received_copies.get(handle)
            if copy is None or not copy.is_complete or copy.run.attempt != attempt:
                return None
        self.received_copies.pop(handle, None)
        source._free(handle)
        return copy
