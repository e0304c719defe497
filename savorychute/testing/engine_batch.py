"""The batch of a stand-in engine: what waits, what is prefilled, what runs."""

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
    """Streams of one engine and the steps they share.

    One prompt is prefilled at a time while the running streams go on.  Which
    prompt comes next is decided by priority, then by arrival.

    :param settings: size and habits.
    :param rng: decides gaps of the cache events and crashes by poison.
    """

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self.settings = settings
        self.cache = PrefixCache(settings, rng)
        self.streams: dict[str, EngineStream] = {}
        self.straggle = 1.0
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
        """Return the number of streams that are prefilled or running."""
        return len(self._running) + (1 if self._prefill else 0)

    @property
    def step_ms(self) -> float:
        """Return how long a step takes now."""
        return self._steps.step_ms

    def enqueue(self, stream: EngineStream, now_ms: float) -> None:
        """Let a stream wait for its turn."""
        stream.phase = StreamPhase.WAITING
        stream.version += 1
        self.streams[stream.stream_id] = stream
        self.waiting_count += 1
        heapq.heappush(self._waiting, (stream.priority, stream.arrival, stream))
        self.start_prefill(now_ms)

    def tokens_of(self, stream: EngineStream, now_ms: float) -> int:
        """Return how many tokens of a stream exist."""
        return stream.tokens_at(self._steps.step_at(now_ms))

    def used_tokens(self, now_ms: float) -> int:
        """Return the KV memory in use, in tokens."""
        step = self._steps.step_at(now_ms)
        return sum(
            stream.prompt_tokens + stream.tokens_at(step)
            for stream in self.streams.values()
            if stream.phase is not StreamPhase.WAITING
        )

    def next_due_ms(self) -> float | None:
        """Return when something happens next, if at all."""
        self._drop_stale_due()
        times = []
        if self._due:
            times.append(self._steps.time_of(self._due[0][0]))
        if self._prefill:
            times.append(self._prefill[0])
        if self.poison_ms is not None:
            times.append(self.poison_ms)
        return min(times) if times else None

    def run_due(self, due_ms: float) -> EngineStream | None:
        """Do what is due; return the stream that has tokens to emit, if any."""
        if self._prefill and self._prefill[0] <= due_ms:
            self._finish_prefill(due_ms)
            return None
        return heapq.heappop(self._due)[3]

    def settle(self, stream: EngineStream, now_ms: float) -> None:
        """Plan a running stream's next emission and keep the memory's bound."""
        if stream.phase is StreamPhase.RUNNING:
            self._schedule(stream)
            self._shrink(now_ms)

    def start_prefill(self, now_ms: float) -> None:
        """Begin the next prompt if there is one and it fits."""
        if self._prefill or len(self._running) >= self.settings.max_running:
            return
        while self._waiting:
            stream = self._waiting[0][2]
            if stream.phase is not StreamPhase.WAITING:
                heapq.heappop(self._waiting)
                continue
            if not self._make_room(stream, now_ms):
                return
            heapq.heappop(self._waiting)
            self.waiting_count -= 1
            self._prefill_stream(stream, now_ms)
            return

    def halt(self, stream: EngineStream, now_ms: float) -> None:
        """Take a stream out of the batch and count what it made."""
        if stream.phase is StreamPhase.RUNNING:
            tokens = self.tokens_of(stream, now_ms)
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

    def keep(self, stream: EngineStream, phase: StreamPhase, now_ms: float) -> None:
        """Keep a halted stream for a later resume."""
        stream.phase = phase
        stream.kept_until_ms = now_ms + self.settings.keep_ms

    def forget(self, stream: EngineStream) -> None:
        """Drop a halted stream."""
        stream.version += 1
        stream.phase = StreamPhase.DONE
        self.streams.pop(stream.stream_id, None)

    def forget_expired(self, now_ms: float) -> None:
        """Drop the kept streams whose time is over."""
        for stream in list(self.streams.values()):
            if stream.is_kept and stream.kept_until_ms <= now_ms:
                self.forget(stream)

    def set_straggle(self, factor: float, now_ms: float) -> None:
        """Make every step and every prefill *factor* times as long."""
        self.straggle = factor
        self._adjust_steps(now_ms)

    def freeze(self, now_ms: float) -> None:
        """Remember how far the steps are, because time will be skipped."""
        self._steps.freeze(now_ms)

    def thaw(self, now_ms: float) -> None:
        """Go on as if no time had passed since :meth:`freeze`."""
        self._steps.skip_to(now_ms)
        if self._prefill:
            self._prefill = (max(self._prefill[0], now_ms), self._prefill[1])

    def clear(self, now_ms: float) -> None:
        """Lose everything, as a crash does."""
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
        rate = self.settings.prefill_tokens_per_s / self.straggle
        self._prefill = (now_ms + work_tokens * MS_PER_S / rate, stream)

    def _make_room(self, stream: EngineStream, now_ms: float) -> bool:
        """Return whether a prompt fits, dropping kept streams if need be."""
        need_tokens = stream.prompt_tokens + stream.base_tokens
        free_tokens = self.settings.kv_tokens - self.used_tokens(now_ms)
        for kept in list(self.streams.values()):
            if free_tokens >= need_tokens:
                break
            if kept.is_kept:
                free_tokens += kept.prompt_tokens + kept.base_tokens
                self.forget(kept)
        return free_tokens >= need_tokens or not self._running

    def _finish_prefill(self, now_ms: float) -> None:
        if self._prefill is None:
            return
        stream = self._prefill[1]
        self._prefill = None
        self.cache.store(stream.blocks, now_ms)
        if stream.poison and self._rng.random() < self.settings.crash_share:
            self.poison_ms = now_ms + self.settings.poison_delay_ms
        self._run(stream, now_ms)
        self.start_prefill(now_ms)

    def _run(self, stream: EngineStream, now_ms: float) -> None:
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

    def _shrink(self, now_ms: float) -> None:
        """Put the least important stream back if the KV memory overflows."""
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
        self._steps.change(batch_ms * self.straggle, now_ms)
