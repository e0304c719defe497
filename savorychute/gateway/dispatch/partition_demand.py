"""Engine time that latency-sensitive streams and all other requests need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.decaying_sum import remaining_share

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements

# Concurrent requests of an engine whose entry is unknown.
DEFAULT_SLOTS = 64
# Engine time per token: for prefill, and for generation in one of the engine's slots.
# They are constants so that all instances get the same partitions; learned values would
# differ between instances without any benefit.
PREFILL_MS_PER_TOKEN = 1 / 60
GENERATION_MS_PER_TOKEN = 6.4
# Share of shared prompts that is not found in the cache: one in three tokens of a day.
CACHE_MISS_SHARE = 0.35
# Decay time of an instance's own demand, such that partitions follow a burst of one
# kind of request.  With a shorter time they would change with each group of callers.
OWN_DECAY_S = 8.0
# Decay time of demand reported by other instances.  Four reports arrive per second,
# regardless of the number of instances, so that about twelve times as many requests are
# counted as this instance receives.
REPORTED_DECAY_S = 3.0
# Engine time assumed before requests were observed, with typical shares.  Without it,
# the first prompts would get homes that they lose as soon as the engines are
# partitioned, and would be prefilled twice.
INITIAL_SENSITIVE_MS = 450.0
INITIAL_OTHER_MS = 2_550.0
# Averaging time of the number of running streams; a stream takes one or two seconds.
STREAM_AVERAGING_MS = 1_000
# All values are packed into one number of 63 bits, streams as multiples of 1/64.
FIELD_BITS = 24
MAX_FIELD_VALUE = (1 << FIELD_BITS) - 1
UNITS_PER_STREAM = 64
MAX_STREAM_UNITS = (1 << 15) - 1


class _DecayingDemand:
    """Decaying sums of engine time, and the number of additions that they consist of.

    :param decay_s: time after which an addition has decayed.
    :param sensitive_ms: initial engine time of latency-sensitive streams.
    :param other_ms: initial engine time of other requests.
    """

    def __init__(
        self, decay_s: float, sensitive_ms: float = 0.0, other_ms: float = 0.0
    ) -> None:
        self.sensitive_ms = sensitive_ms
        self.other_ms = other_ms
        self.streams = 0.0
        self.additions = 0.0
        self._decay_s = decay_s
        self._updated_ms: int | None = None

    @property
    def has_started(self) -> bool:
        """Whether the sums have started to decay."""
        return self._updated_ms is not None

    def add(
        self, sensitive_ms: float, other_ms: float, now_ms: int, streams: float = 0.0
    ) -> None:
        self.decay(now_ms)
        self.streams += streams
        self.sensitive_ms += sensitive_ms
        self.other_ms += other_ms
        self.additions += 1.0

    def decay(self, now_ms: int) -> None:
        remaining = remaining_share(self._updated_ms, now_ms, self._decay_s)
        self.sensitive_ms *= remaining
        self.other_ms *= remaining
        self.streams *= remaining
        self.additions *= remaining
        self._updated_ms = now_ms


class PartitionDemand:
    """Combines the demand of this instance with the demand that others report.

    With sixty instances each receives two requests per second.  Partitions based on the
    requests of one instance alone would differ between instances, and an engine that
    belongs to both partitions delays latency-sensitive streams.
    """

    def __init__(self) -> None:
        self._own = _DecayingDemand(OWN_DECAY_S, INITIAL_SENSITIVE_MS, INITIAL_OTHER_MS)
        self._reported = _DecayingDemand(REPORTED_DECAY_S)
        # Average number of running latency-sensitive streams of this instance.
        self._mean_streams = 0.0
        self._observed_ms: int | None = None
        self.instances = 1

    def record_request(
        self,
        requirements: RequestRequirements,
        now_ms: int,
        model: EngineModel,
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        """Add the engine time that a request is expected to take.

        A request occupies one of an engine's slots while its answer is generated, so on
        engines with few slots long answers use up the slots.

        :param requirements: requirements of the request.
        :param now_ms: the current time.
        :param model: model of the engines that may serve it.
        :param slots: number of requests that such an engine runs concurrently.
        """
        self._reported.decay(now_ms)
        self._own.decay(now_ms)
        prompt = requirements.prompt
        if prompt is None:
            return
        cached_tokens = (1.0 - CACHE_MISS_SHARE) * prompt.shared_tokens
        work_ms = PREFILL_MS_PER_TOKEN * (prompt.tokens - cached_tokens)
        work_ms += GENERATION_MS_PER_TOKEN * prompt.answer_tokens / slots
        if model.needs_isolation(requirements):
            self._own.add(work_ms, 0.0, now_ms)
        else:
            self._own.add(0.0, work_ms, now_ms)

    def advertised(self, now_ms: int) -> int:
        """Return the demand that is reported to other instances, as one number.

        :param now_ms: the current time.
        """
        # The initial values do not decay before the first request: they keep their
        # weight however long an instance waits for callers.
        if self._own.has_started:
            self._own.decay(now_ms)
        sensitive = min(round(self._own.sensitive_ms), MAX_FIELD_VALUE)
        other = min(round(self._own.other_ms), MAX_FIELD_VALUE)
        streams = min(round(UNITS_PER_STREAM * self._mean_streams), MAX_STREAM_UNITS)
        return (streams << 2 * FIELD_BITS) | (sensitive << FIELD_BITS) | other

    def record_reported(self, advertised: int, now_ms: int) -> None:
        """Record the demand that another instance reported.

        :param advertised: the number that it reported.
        :param now_ms: the current time.
        """
        sensitive = (advertised >> FIELD_BITS) & MAX_FIELD_VALUE
        streams = (advertised >> 2 * FIELD_BITS) / UNITS_PER_STREAM
        self._reported.add(sensitive, advertised & MAX_FIELD_VALUE, now_ms, streams)

    def observe(self, streams: int, instances: int, now_ms: int) -> None:
        """Record the running streams; must be called several times per second.

        :param streams: number of running latency-sensitive streams of this instance.
        :param instances: number of instances.
        :param now_ms: the current time.
        """
        self.instances = instances
        if self._observed_ms is not None:
            weight = min(1.0, (now_ms - self._observed_ms) / STREAM_AVERAGING_MS)
            self._mean_streams += weight * (streams - self._mean_streams)
        self._observed_ms = now_ms

    def sensitive_share(self) -> float:
        """Return the share of engine time that latency-sensitive streams need."""
        sensitive_ms = self._own.sensitive_ms + self._reported.sensitive_ms
        total_ms = sensitive_ms + self._own.other_ms + self._reported.other_ms
        return sensitive_ms / total_ms if total_ms else 0.0

    def sensitive_streams(self) -> float:
        """Return the number of running latency-sensitive streams of all instances.

        It is extrapolated from the mean of the instances that reported.
        """
        counted_instances = 1.0 + self._reported.additions
        return (
            self.instances
            * (self._mean_streams + self._reported.streams)
            / counted_instances
        )
