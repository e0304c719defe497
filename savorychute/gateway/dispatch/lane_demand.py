"""How much engine time steady streams and all other requests ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.fading_sum import kept_part

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.need import Need

# Requests that an engine runs at once, where its entry is not at hand.
USUAL_PLACES = 64
# Engine time for a token: read in a prompt, and generated in one of an engine's places.
# These are the same on all instances, so that their lanes are: figures that each learns
# alone would not be, and bring nothing.
READ_MS = 1 / 60
TOKEN_MS = 6.4
# The part of shared prompts that is not found in the cache: one in three tokens of a day.
MISS_SHARE = 0.35
# Own demand is averaged over about this time, so that the lanes follow a burst of one
# kind.  A shorter memory makes lanes that change with each group of callers.
OWN_S = 8.0
# What other instances say is kept for about this time.  Four of them are heard a second,
# however many there are, so about twelve times as many requests count as are seen.
HEARD_S = 3.0
# What is assumed before requests have shown it, in engine time: a part like that of the
# users' days.  Without it the first prompts of a day get homes that they lose as soon as
# the lanes are known, and are read twice.
FIRST_STEADY_MS = 450.0
FIRST_OTHER_MS = 2_550.0
# Streams that run are averaged over about this time: a stream takes one or two seconds.
STREAMS_MS = 1_000
# All figures travel in one number of 63 bits, streams in parts of one.
FIGURE_BITS = 24
MOST_MS = (1 << FIGURE_BITS) - 1
STREAM_UNITS = 64
MOST_STREAM_UNITS = (1 << 15) - 1


class _Fading:
    """Sums that fade, and how many amounts they are of.

    :param memory_s: how long an amount counts.
    :param steady_ms: the first sum at the start.
    :param other_ms: the second one.
    """

    def __init__(
        self, memory_s: float, steady_ms: float = 0.0, other_ms: float = 0.0
    ) -> None:
        self.steady_ms = steady_ms
        self.other_ms = other_ms
        self.streams = 0.0
        self.amounts = 0.0
        self._memory_s = memory_s
        self._noted_ms: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether its amounts have begun to fade."""
        return self._noted_ms is not None

    def add(
        self, steady_ms: float, other_ms: float, now_ms: int, streams: float = 0.0
    ) -> None:
        self.fade(now_ms)
        self.streams += streams
        self.steady_ms += steady_ms
        self.other_ms += other_ms
        self.amounts += 1.0

    def fade(self, now_ms: int) -> None:
        kept = kept_part(self._noted_ms, now_ms, self._memory_s)
        self.steady_ms *= kept
        self.other_ms *= kept
        self.streams *= kept
        self.amounts *= kept
        self._noted_ms = now_ms


class LaneDemand:
    """Learns from this instance's requests, and from what others say of theirs.

    An instance of sixty sees two requests a second; lanes that each made of its own
    requests alone would differ from one instance to the next, and an engine that is in
    both lanes serves steady streams late.
    """

    def __init__(self) -> None:
        self._own = _Fading(OWN_S, FIRST_STEADY_MS, FIRST_OTHER_MS)
        self._heard = _Fading(HEARD_S)
        # Steady streams of this instance that run, averaged.
        self._streams = 0.0
        self._observed_ms: int | None = None
        self.instances = 1

    def note(
        self, need: Need, now_ms: int, model: EngineModel, places: int = USUAL_PLACES
    ) -> None:
        """Count the engine time that a request is expected to take.

        While its answer is generated a request takes one of an engine's places, so where
        places are few, they are what long answers use up.

        :param need: of the request.
        :param now_ms: the time.
        :param model: of the engines that may serve it.
        :param places: requests that such an engine runs at once.
        """
        self._heard.fade(now_ms)
        self._own.fade(now_ms)
        prompt = need.prompt
        if prompt is None:
            return
        cached_tokens = (1.0 - MISS_SHARE) * prompt.shared_tokens
        work_ms = READ_MS * (prompt.tokens - cached_tokens)
        work_ms += TOKEN_MS * prompt.answer_tokens / places
        if model.needs_apart(need):
            self._own.add(work_ms, 0.0, now_ms)
        else:
            self._own.add(0.0, work_ms, now_ms)

    def advertised(self, now_ms: int) -> int:
        """Return what other instances are told, in one number.

        :param now_ms: the time.
        """
        # The first guess must not fade before the first request: it keeps its weight
        # however long an instance waits for callers.
        if self._own.has_begun:
            self._own.fade(now_ms)
        steady = min(round(self._own.steady_ms), MOST_MS)
        other = min(round(self._own.other_ms), MOST_MS)
        streams = min(round(STREAM_UNITS * self._streams), MOST_STREAM_UNITS)
        return (streams << 2 * FIGURE_BITS) | (steady << FIGURE_BITS) | other

    def hear(self, advertised: int, now_ms: int) -> None:
        """Take in what another instance said.

        :param advertised: its number.
        :param now_ms: the time.
        """
        steady = (advertised >> FIGURE_BITS) & MOST_MS
        streams = (advertised >> 2 * FIGURE_BITS) / STREAM_UNITS
        self._heard.add(steady, advertised & MOST_MS, now_ms, streams)

    def observe(self, streams: int, instances: int, now_ms: int) -> None:
        """Take in what runs now; to be called several times a second.

        :param streams: steady streams of this instance that run.
        :param instances: how many instances there are.
        :param now_ms: the time.
        """
        self.instances = instances
        if self._observed_ms is not None:
            weight = min(1.0, (now_ms - self._observed_ms) / STREAMS_MS)
            self._streams += weight * (streams - self._streams)
        self._observed_ms = now_ms

    def steady_share(self) -> float:
        """Return the part of the engine time that steady streams ask for."""
        steady_ms = self._own.steady_ms + self._heard.steady_ms
        total_ms = steady_ms + self._own.other_ms + self._heard.other_ms
        return steady_ms / total_ms if total_ms else 0.0

    def steady_streams(self) -> float:
        """Return how many steady streams run, over all instances.

        The mean of the instances that were heard stands for all.
        """
        told = 1.0 + self._heard.amounts
        return self.instances * (self._streams + self._heard.streams) / told
