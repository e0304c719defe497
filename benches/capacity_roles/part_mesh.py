"""Parts of many instances that exchange messages on a virtual clock."""

from __future__ import annotations

import heapq
import statistics
import time
from typing import TYPE_CHECKING, NamedTuple, Protocol

from benches.capacity_roles.measuring import NS_PER_US, decode, encode
from savorychute.actions import SendPeer
from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from savorychute.actions import Action

DELAY_MS = 2


class Driven(Protocol):
    """A part with what drives it; only what it spends itself is timed."""

    def prepare(self, now_ms: int) -> None:
        """Make the load that the part meets; not timed."""
        ...

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Do what is due and return the actions."""
        ...

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Take in a peer message and return the actions."""
        ...

    def carry_out(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Stand in for the host, for actions that are no peer messages."""
        ...


class Delivery(NamedTuple):
    """A message on its way; ``number`` keeps the order of equal times."""

    at_ms: int
    number: int
    sender: str
    target: str
    message: tuple[object, ...]


class Costs(NamedTuple):
    """What one instance spent on average over the sampled ones.

    ``busiest_bytes_per_s`` is of the busiest sampled instance, both ways.
    """

    sent_messages_per_s: float
    received_messages_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    busiest_bytes_per_s: float
    processor_us_per_s: float


class Meter:
    """Counts and times of one sampled instance."""

    def __init__(self) -> None:
        self.sent_messages = 0
        self.received_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.spent_ns = 0


class PartMesh:
    """A loss-free network of parts; some instances are sampled.

    :param parts: by instance.
    :param sampled: the instances that are measured.
    :param tick_ms: the time between two ticks of a part.
    """

    def __init__(
        self, parts: Mapping[str, Driven], sampled: Sequence[str], tick_ms: int
    ) -> None:
        self.now_ms = 0
        self._parts = parts
        self._tick_ms = tick_ms
        self._meters = {name: Meter() for name in sampled}
        self._ticks = [(i % tick_ms, name) for i, name in enumerate(parts)]
        heapq.heapify(self._ticks)
        self._deliveries: list[Delivery] = []
        self._number = 0

    def run(self, duration_ms: int) -> None:
        """Let time pass.

        :param duration_ms: how much.
        """
        end_ms = self.now_ms + duration_ms
        while True:
            tick_ms = self._ticks[0][0]
            delivery_ms = self._deliveries[0].at_ms if self._deliveries else end_ms
            if min(tick_ms, delivery_ms) >= end_ms:
                break
            self.now_ms = min(tick_ms, delivery_ms)
            if delivery_ms <= tick_ms:
                self._deliver(heapq.heappop(self._deliveries))
            else:
                self._tick(heapq.heappop(self._ticks)[1])
        self.now_ms = end_ms

    def measure(self, window_ms: int, windows: int) -> Costs:
        """Return the mean costs; of processor time the median over windows.

        :param window_ms: how long each window is.
        :param windows: how many follow each other.
        """
        for name in self._meters:
            self._meters[name] = Meter()
        processor_us = []
        for _ in range(windows):
            before_ns = sum(meter.spent_ns for meter in self._meters.values())
            self.run(window_ms)
            spent_ns = sum(m.spent_ns for m in self._meters.values()) - before_ns
            processor_us.append(spent_ns / NS_PER_US / len(self._meters))
        meters = self._meters.values()
        each = len(meters) * windows * window_ms / MS_PER_S
        busiest = max(meter.sent_bytes + meter.received_bytes for meter in meters)
        return Costs(
            sum(meter.sent_messages for meter in meters) / each,
            sum(meter.received_messages for meter in meters) / each,
            sum(meter.sent_bytes for meter in meters) / each,
            sum(meter.received_bytes for meter in meters) / each,
            busiest / (windows * window_ms / MS_PER_S),
            statistics.median(processor_us) / (window_ms / MS_PER_S),
        )

    def _tick(self, instance: str) -> None:
        self._parts[instance].prepare(self.now_ms)
        begin_ns = time.process_time_ns()
        actions = self._parts[instance].tick(self.now_ms)
        self._charge(instance, begin_ns)
        self._carry_out(instance, actions)
        heapq.heappush(self._ticks, (self.now_ms + self._tick_ms, instance))

    def _deliver(self, delivery: Delivery) -> None:
        instance = delivery.target
        message = delivery.message
        meter = self._meters.get(instance)
        if meter is not None:
            frame = encode(delivery.sender, instance, message)
            meter.received_messages += 1
            meter.received_bytes += len(frame)
            begin_ns = time.process_time_ns()
            message = decode(frame, instance)
            self._charge(instance, begin_ns)
        begin_ns = time.process_time_ns()
        actions = self._parts[instance].receive(delivery.sender, message, self.now_ms)
        self._charge(instance, begin_ns)
        self._carry_out(instance, actions)

    def _carry_out(self, instance: str, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(instance, action)
            else:
                begin_ns = time.process_time_ns()
                reply = self._parts[instance].carry_out(action, self.now_ms)
                self._charge(instance, begin_ns)
                self._carry_out(instance, reply)

    def _send(self, sender: str, action: SendPeer) -> None:
        meter = self._meters.get(sender)
        if meter is not None:
            begin_ns = time.process_time_ns()
            frame = encode(sender, action.instance, action.message)
            self._charge(sender, begin_ns)
            meter.sent_messages += 1
            meter.sent_bytes += len(frame)
        if action.instance not in self._parts:
            return
        self._number += 1
        at_ms = self.now_ms + DELAY_MS
        heapq.heappush(
            self._deliveries,
            Delivery(at_ms, self._number, sender, action.instance, action.message),
        )

    def _charge(self, instance: str, begin_ns: int) -> None:
        meter = self._meters.get(instance)
        if meter is not None:
            meter.spent_ns += time.process_time_ns() - begin_ns


def choose_sampled(instances: Sequence[str], count: int) -> list[str]:
    """Return instances spread evenly over all.

    :param instances: their names.
    :param count: how many at most.
    """
    step = max(1, len(instances) // count)
    return list(instances)[::step][:count]
