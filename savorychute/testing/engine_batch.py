"""The batch of a stand-in engine: waiting, prefilling and running streams."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from savorychute.testing.engine_stream import EngineStream, StreamPhase
from savorychute.testing.prefix_cache import PrefixCache
from savorychute.testing.prompt_blocks import BLOCK_TOKENS
from savorychute.testing.step_clock import StepClock

if TYPE_CHECKING:
    from random import Random

    from savorychute.testing.engine_settings import EngineSettings

MS_PER_S = 1_000.0


class EngineBatch:
    """The streams of one engine and the steps that they share.

    One prompt is prefilled at a time while the running streams continue.  The
    next prompt is chosen by priority, then by arrival.

    :param settings: size and behaviour.
    :param rng: decides on gaps in the cache events and on crashes by poison.
    """

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self.settings = settings
        self.cache = PrefixCache(settings, rng)
        self.streams: dict[str, EngineStream] = {}
        self.slowdown = 1.0
        self.generated_tokens = 0
        self.prefilled_tokens = 0
        self.waiting_count = 0
        self.poison_ms: float | None = None
        self._rng = rng
        self._steps = StepClock(settings.step_ms)
        self._waiting: list[tuple[int, int, EngineStream]] = []
        self._running: set[str] = set()
        self._due: list[tuple[int, int, int, EngineStream]] = []
        self._prefill: tuple[float, EngineStream] | None = None

    @property
    def running_count(self) -> int:
        """Return the number of streams that are being prefilled or running."""
        return len(self._running) + (1 if self._prefill else 0)

    @property
    def step_ms(self) -> float:
        """Return the current duration of a step."""
        return self._steps.step_ms

    def enqueue(self, stream: EngineStream, now_ms: float) -> None:
        """Add a stream to the queue."""
        stream.phase = StreamPhase.WAITING
        stream.version += 1
        self.streams[stream.stream_id] = stream
        self.waiting_count += 1
        heapq.heappush(self._waiting, (stream.priority, stream.arrival, stream))
        self.start_prefill(now_ms)

    def count_tokens(self, stream: EngineStream, now_ms: float) -> int:
        """Return the number of generated tokens of a stream."""
        return stream.tokens_at(self._steps.step_at(now_ms))

    def used_tokens(self, now_ms: float) -> int:
        """Return the used KV memory in tokens."""
        step = self._steps.step_at(now_ms)
        return sum(
            stream.prompt_tokens + stream.tokens_at(step)
            for stream in self.streams.values()
            if stream.phase is not StreamPhase.WAITING
        )

    def next_due_ms(self) -> float | None:
        """Return the time of the next event, or None."""
        self._drop_stale_due()
        due_times_ms = []
        if self._due:
            due_times_ms.append(self._steps.time_of(self._due[0][0]))
        if self._prefill:
            due_times_ms.append(self._prefill[0])
        if self.poison_ms is not None:
            due_times_ms.append(self.poison_ms)
        return min(due_times_ms) if due_times_ms else None

    def run_due(self, due_ms: float) -> EngineStream | None:
        """Process the next event; return the stream that has tokens to emit, if any."""
        if self._prefill and self._prefill[0] <= due_ms:
            self._finish_prefill(due_ms)
            return None
        return heapq.heappop(self._due)[3]

    def settle(self, stream: EngineStream, now_ms: float) -> None:
        """Schedule a running stream's next emission and enforce the memory limit."""
        if stream.phase is StreamPhase.RUNNING:
            self._schedule(stream)
            self._preempt_if_full(now_ms)

    def start_prefill(self, now_ms: float) -> None:
        """Start the prefill of the next prompt if there is one and it fits."""
        if self._prefill or len(self._running) >= self.settings.max_running:
            return
        while self._waiting:
            stream = self._waiting[0][2]
            if stream.phase is not StreamPhase.WAITING:
                heapq.heappop(self._waiting)
                continue
            if not self._free_memory(stream, now_ms):
                return
            heapq.heappop(self._waiting)
            self.waiting_count -= 1
            self._prefill_stream(stream, now_ms)
            return

    def halt(self, stream: EngineStream, now_ms: float) -> None:
        """Remove a stream from the batch and count its generated tokens."""
        if stream.phase is StreamPhase.RUNNING:
            tokens = self.count_tokens(stream, now_ms)
            self.generated_tokens += tokens - stream.base_tokens
            stream.base_tokens = tokens
            self._running.discard(stream.stream_id)
            self._adjust_steps(now_ms)
        elif stream.phase is StreamPhase.WAITING:
            self.waiting_count -= 1
        elif self._prefill and self._prefill[1] is stream:
            self._prefill = None
        stream.version += 1
        stream.phase = StreamPhase.KEPT

    def retain(self, stream: EngineStream, phase: StreamPhase, now_ms: float) -> None:
        """Retain a halted stream for a later resume."""
        stream.phase = phase
        stream.kept_until_ms = now_ms + self.settings.keep_ms

    def discard(self, stream: EngineStream) -> None:
        """Remove a halted stream."""
        stream.version += 1
        stream.phase = StreamPhase.DONE
        self.streams.pop(stream.stream_id, None)

    def discard_expired(self, now_ms: float) -> None:
        """Remove the retained streams that have expired."""
        for stream in list(self.streams.values()):
            if stream.is_kept and stream.kept_until_ms <= now_ms:
                self.discard(stream)

    def set_slowdown(self, factor: float, now_ms: float) -> None:
        """Multiply the duration of every step and prefill by *factor*."""
        self.slowdown = factor
        self._adjust_steps(now_ms)

    def freeze(self, now_ms: float) -> None:
        """Store the current step position before a period of time is skipped."""
        self._steps.freeze(now_ms)

    def thaw(self, now_ms: float) -> None:
        """Continue as if no time had passed since :meth:`freeze`."""
        self._steps.skip_to(now_ms)
        if self._prefill:
            self._prefill = (max(self._prefill[0], now_ms), self._prefill[1])

    def clear(self, now_ms: float) -> None:
        """Remove all streams and the cache, as a crash does."""
        for stream in list(self.streams.values()):
            self.halt(stream, now_ms)
        self.streams.clear()
        self._waiting.clear()
        self.waiting_count = 0
        self._due.clear()
        self._prefill = None
        self.poison_ms = None
        self.cache.clear()

    def _prefill_stream(self, stream: EngineStream, now_ms: float) -> None:
        stream.phase = StreamPhase.PREFILL
        cached_tokens = self.cache.match(stream.blocks) * BLOCK_TOKENS
        work_tokens = max(1, stream.prompt_tokens - cached_tokens + stream.base_tokens)
        self.prefilled_tokens += work_tokens
        tokens_per_s = self.settings.prefill_tokens_per_s / self.slowdown
        self._prefill = (now_ms + work_tokens * MS_PER_S / tokens_per_s, stream)

    def _free_memory(self, stream: EngineStream, now_ms: float) -> bool:
        """Return whether a prompt fits, removing retained streams if necessary."""
        needed_tokens = stream.prompt_tokens + stream.base_tokens
        free_tokens = self.settings.kv_tokens - self.used_tokens(now_ms)
        for other_stream in list(self.streams.values()):
            if free_tokens >= needed_tokens:
                break
            if other_stream.is_kept:
                free_tokens += other_stream.prompt_tokens + other_stream.base_tokens
                self.discard(other_stream)
        return free_tokens >= needed_tokens or not self._running

    def _finish_prefill(self, now_ms: float) -> None:
        if self._prefill is None:
            return
        stream = self._prefill[1]
        self._prefill = None
        self.cache.store(stream.blocks, now_ms)
        if stream.poison and self._rng.random() < self.settings.crash_share:
            self.poison_ms = now_ms + self.settings.poison_delay_ms
        self._start_running(stream, now_ms)
        self.start_prefill(now_ms)

    def _start_running(self, stream: EngineStream, now_ms: float) -> None:
        stream.phase = StreamPhase.RUNNING
        stream.base_step = self._steps.step_at(now_ms)
        self._running.add(stream.stream_id)
        self._adjust_steps(now_ms)
        self._schedule(stream)

    def _schedule(self, stream: EngineStream) -> None:
        stream.version += 1
        stop = stream.next_stop(self.settings.chunk_steps)
        step = stream.base_step + max(0, stop - stream.base_tokens)
        heapq.heappush(self._due, (step, stream.arrival, stream.version, stream))

    def _drop_stale_due(self) -> None:
        while self._due:
            _, _, version, stream = self._due[0]
            if stream.version == version and stream.phase is StreamPhase.RUNNING:
                return
            heapq.heappop(self._due)

    def _preempt_if_full(self, now_ms: float) -> None:
        """Return the least important stream to the queue if the KV memory overflows."""
        if len(self._running) < 2:
            return
        if self.used_tokens(now_ms) <= self.settings.kv_tokens:
            return
        streams = [self.streams[stream_id] for stream_id in self._running]
        victim = max(streams, key=lambda stream: (stream.priority, stream.arrival))
        self.halt(victim, now_ms)
        self.enqueue(victim, now_ms)

    def _adjust_steps(self, now_ms: float) -> None:
        settings = self.settings
        batch_ms = settings.step_ms + settings.step_ms_per_stream * len(self._running)
        self._steps.change(batch_ms * self.slowdown, now_ms)
