"""A stand-in model engine with continuous batching, on a clock it is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.answers import write_tokens
from savorychute.testing.endpoint_down import EndpointDownError
from savorychute.testing.engine_batch import EngineBatch
from savorychute.testing.engine_events import (
    EngineEvent,
    StreamAccepted,
    StreamBroken,
    StreamEnded,
    StreamRefused,
    StreamTokens,
)
from savorychute.testing.engine_load import EngineLoad
from savorychute.testing.engine_reports import LaggingReports
from savorychute.testing.engine_stream import EngineStream, StreamPhase
from savorychute.testing.order_gate import EngineOrder, OrderGate
from savorychute.testing.weight_store import WeightStore

if TYPE_CHECKING:
    from random import Random

    from savorychute.testing.engine_request import EngineRequest
    from savorychute.testing.engine_settings import EngineSettings

STATUS_BUSY = 429
STATUS_UNAVAILABLE = 503
STATUS_NOT_FOUND = 404


class ModelEngine:
    """The engine's state; every method takes the time and returns events.

    :param settings: size and habits.
    :param rng: decides gaps of the cache events and crashes by poison.
    :param store: where models come from; its own one if none is given.
    """

    def __init__(
        self, settings: EngineSettings, rng: Random, store: WeightStore | None = None
    ) -> None:
        self.settings = settings
        self.is_up = True
        self.leaving = False
        self.refusing = False
        self.silent = False
        self.crashes = 0
        self.poison_crashes = 0
        self.executions: dict[str, int] = {}
        self.prompts_executed: dict[str, int] = {}
        self.orders = OrderGate(
            settings.models, settings.checks_fencing, store or WeightStore()
        )
        self.reports = LaggingReports(settings.report_lag_ms)
        self.batch = EngineBatch(settings, rng)
        self._attempts: dict[str, EngineStream] = {}
        self._arrivals = 0
        self._silent_inbox: list[EngineRequest] = []

    @property
    def generated_tokens(self) -> int:
        """Return how many tokens the streams that are over or halted made."""
        return self.batch.generated_tokens

    def submit(self, request: EngineRequest, now_ms: float) -> list[EngineEvent]:
        """Take up an attempt, or refuse it and do nothing.

        :raises EndpointDownError: if the engine is down.
        """
        self._require_up()
        if self.silent:
            self._silent_inbox.append(request)
            return []
        events = self.advance(now_ms)
        self._require_up()
        refusal = self._refusal(request, now_ms)
        if refusal:
            return [*events, refusal]
        events.append(StreamAccepted(request.attempt_id, request.stream_id))
        self._accept(request, now_ms)
        return events

    def resume(
        self, stream_id: str, attempt_id: str, offset: int, now_ms: float
    ) -> list[EngineEvent]:
        """Go on with a stream from *offset*; its earlier reader is cut off.

        :raises EndpointDownError: if the engine is down.
        """
        self._require_up()
        if self.silent:
            return []
        events = self.advance(now_ms)
        self._require_up()
        self.batch.forget_expired(now_ms)
        stream = self.batch.streams.get(stream_id)
        if stream is None or offset > self.batch.tokens_of(stream, now_ms):
            refusal = StreamRefused(
                attempt_id, STATUS_NOT_FOUND, False, 'no such stream'
            )
            return [*events, refusal]
        events += self._take_over(stream, attempt_id)
        events.append(StreamAccepted(attempt_id, stream_id))
        stream.emitted_tokens = offset
        return events + self._revive(stream, now_ms)

    def cancel(self, stream_id: str, keep: bool, now_ms: float) -> list[EngineEvent]:
        """Stop a stream; with *keep* it can be resumed for a while.

        :raises EndpointDownError: if the engine is down.
        """
        self._require_up()
        if self.silent:
            return []
        events = self.advance(now_ms)
        stream = self.batch.streams.get(stream_id)
        if stream is None:
            return events
        if stream.attempt_id:
            events.append(StreamBroken(stream.attempt_id, stream_id, 'cancelled'))
        self._stop(stream, keep, now_ms)
        return events

    def close(self, attempt_id: str, now_ms: float) -> list[EngineEvent]:
        """Note that an attempt's connection was closed by the other side."""
        if not self.is_up:
            return []
        if self.silent:
            self._withdraw(attempt_id)
            return []
        events = self.advance(now_ms)
        stream = self._attempts.get(attempt_id)
        if stream is not None:
            self._stop(stream, stream.request.keep_on_close, now_ms)
        return events

    def order(self, order: EngineOrder, now_ms: float) -> str:
        """Carry out an order and return its outcome.

        :raises EndpointDownError: if the engine is down.
        """
        self._require_up()
        return self.orders.take(order, now_ms)

    def report(self, cursor: int, now_ms: float) -> EngineLoad:
        """Return a load report as old as the engine's lag.

        :param cursor: the last cache sequence number that the reader saw.
        :raises EndpointDownError: if the engine is down.
        """
        self._require_up()
        self.reports.note(self._load_now(now_ms), now_ms)
        load, age_ms = self.reports.read(now_ms)
        news = self.batch.cache.read(cursor, now_ms)
        return load._replace(
            age_ms=age_ms,
            cache_sequence=news.sequence,
            cached=news.cached,
            evicted=news.evicted,
            cache_gap=news.gap,
        )

    def advance(self, now_ms: float) -> list[EngineEvent]:
        """Bring the engine up to *now_ms* and return what it emits."""
        events: list[EngineEvent] = []
        while True:
            due_ms = self.next_event_ms()
            if due_ms is None or due_ms > now_ms:
                return events
            events += self._run_due(due_ms)

    def next_event_ms(self) -> float | None:
        """Return when the engine has something to do next, if at all."""
        if not self.is_up or self.silent:
            return None
        return self.batch.next_due_ms()

    def crash(self, now_ms: float) -> list[EngineEvent]:
        """Go down: all connections break, everything in memory is lost."""
        events = self.advance(now_ms)
        if not self.is_up:
            return events
        self.crashes += 1
        return events + self._go_down(now_ms)

    def restart(self, now_ms: float) -> None:
        """Come up again, empty."""
        self.is_up = True
        self.silent = False
        self.batch.freeze(now_ms)

    def set_straggle(self, factor: float, now_ms: float) -> list[EngineEvent]:
        """Make every step *factor* times as long as it should be."""
        events = self.advance(now_ms)
        self.batch.set_straggle(factor, now_ms)
        return events

    def set_silent(self, silent: bool, now_ms: float) -> list[EngineEvent]:
        """Hang, or go on where the engine hung.

        A hung engine accepts connections and says nothing.  What it was sent
        meanwhile it takes up when it goes on.
        """
        if silent == self.silent or not self.is_up:
            return []
        if silent:
            events = self.advance(now_ms)
            self.batch.freeze(now_ms)
            self.silent = True
            return events
        self.silent = False
        self.batch.thaw(now_ms)
        inbox, self._silent_inbox = self._silent_inbox, []
        events = []
        for request in inbox:
            events += self.submit(request, now_ms)
        return events

    def _require_up(self) -> None:
        if not self.is_up:
            raise EndpointDownError(f'{self.settings.name} is down')

    def _refusal(self, request: EngineRequest, now_ms: float) -> StreamRefused | None:
        attempt_id = request.attempt_id
        if self.leaving:
            return StreamRefused(attempt_id, STATUS_UNAVAILABLE, True, 'leaving')
        if self.refusing:
            return StreamRefused(attempt_id, STATUS_UNAVAILABLE, False, 'refusing')
        if request.model not in self.orders.models(now_ms):
            return StreamRefused(attempt_id, STATUS_UNAVAILABLE, False, 'not loaded')
        if self.batch.waiting_count >= self.settings.max_waiting:
            return StreamRefused(attempt_id, STATUS_BUSY, False, 'full')
        return None

    def _accept(self, request: EngineRequest, now_ms: float) -> None:
        self._arrivals += 1
        stream = EngineStream(request, self._arrivals)
        attempt_id = request.attempt_id
        self._attempts[attempt_id] = stream
        self.executions[attempt_id] = self.executions.get(attempt_id, 0) + 1
        count = self.prompts_executed.get(request.prompt, 0)
        self.prompts_executed[request.prompt] = count + 1
        self.batch.enqueue(stream, now_ms)

    def _withdraw(self, attempt_id: str) -> None:
        self._silent_inbox = [
            request
            for request in self._silent_inbox
            if request.attempt_id != attempt_id or request.keep_on_close
        ]

    def _run_due(self, due_ms: float) -> list[EngineEvent]:
        if self.batch.poison_ms is not None and self.batch.poison_ms <= due_ms:
            self.poison_crashes += 1
            return self._go_down(due_ms)
        stream = self.batch.run_due(due_ms)
        if stream is None:
            return []
        events = self._emit(stream, due_ms)
        self.batch.settle(stream, due_ms)
        return events

    def _emit(self, stream: EngineStream, now_ms: float) -> list[EngineEvent]:
        """Emit what exists beyond what was emitted; end the stream if whole."""
        events: list[EngineEvent] = []
        attempt_id = stream.attempt_id
        tokens = self.batch.tokens_of(stream, now_ms)
        start = stream.emitted_tokens
        if tokens > start:
            stream.emitted_tokens = tokens
            text = write_tokens(stream.digest, start, tokens)
            count = tokens - start
            events.append(
                StreamTokens(attempt_id, stream.stream_id, start, count, text)
            )
        if tokens >= stream.answer_tokens:
            prompt_tokens = stream.prompt_tokens
            events.append(
                StreamEnded(attempt_id, stream.stream_id, prompt_tokens, tokens)
            )
            self._end(stream, now_ms)
        return events

    def _end(self, stream: EngineStream, now_ms: float) -> None:
        self._detach(stream)
        self.batch.halt(stream, now_ms)
        if stream.request.keep_on_close:
            self.batch.keep(stream, StreamPhase.DONE, now_ms)
        else:
            self.batch.forget(stream)
        self.batch.forget_expired(now_ms)
        self.batch.start_prefill(now_ms)

    def _stop(self, stream: EngineStream, keep: bool, now_ms: float) -> None:
        self._detach(stream)
        if stream.phase is StreamPhase.DONE:
            return
        self.batch.halt(stream, now_ms)
        if keep:
            self.batch.keep(stream, StreamPhase.KEPT, now_ms)
        else:
            self.batch.forget(stream)
        self.batch.forget_expired(now_ms)
        self.batch.start_prefill(now_ms)

    def _take_over(self, stream: EngineStream, attempt_id: str) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        if stream.attempt_id:
            events.append(
                StreamBroken(stream.attempt_id, stream.stream_id, 'taken over')
            )
            self._detach(stream)
        stream.attempt_id = attempt_id
        self._attempts[attempt_id] = stream
        return events

    def _revive(self, stream: EngineStream, now_ms: float) -> list[EngineEvent]:
        """Emit what a resumed stream has, and let it go on if it is not whole."""
        was_kept = stream.phase is StreamPhase.KEPT
        events = self._emit(stream, now_ms)
        if stream.attempt_id and was_kept:
            self.batch.enqueue(stream, now_ms)
        else:
            self.batch.settle(stream, now_ms)
        return events

    def _detach(self, stream: EngineStream) -> None:
        self._attempts.pop(stream.attempt_id, None)
        stream.attempt_id = ''

    def _load_now(self, now_ms: float) -> EngineLoad:
        used_tokens = self.batch.used_tokens(now_ms)
        return EngineLoad(
            age_ms=0,
            running=self.batch.running_count,
            waiting=self.batch.waiting_count,
            kv_free_share=max(0.0, 1.0 - used_tokens / self.settings.kv_tokens),
            step_ms=self.batch.step_ms,
            models=self.orders.models(now_ms),
            state='leaving' if self.leaving else 'active',
        )

    def _go_down(self, now_ms: float) -> list[EngineEvent]:
        events: list[EngineEvent] = [
            StreamBroken(stream.attempt_id, stream.stream_id, 'crash')
            for stream in self.batch.streams.values()
            if stream.attempt_id
        ]
        self.is_up = False
        self.batch.clear(now_ms)
        self._attempts.clear()
        self._silent_inbox.clear()
        return events
