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


class SimulatedPart(Protocol):
    """A measured part with its simulated load; only the part itself is timed."""

    def prepare(self, now_ms: int) -> None:
        """Generate the load of the part; not timed."""
        ...

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Tick the part and return its actions."""
        ...

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Handle a peer message and return the actions."""
        ...

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Execute an action that is not a peer message, in place of the host."""
        ...


class Delivery(NamedTuple):
    """A message in transit; ``number`` orders messages of the same time."""

    at_ms: int
    number: int
    sender: str
    target: str
    message: tuple[object, ...]


class Costs(NamedTuple):
    """Costs of one instance, as the mean over the sampled instances.

    ``busiest_bytes_per_s`` is what the busiest sampled instance sent and received.
    """

    sent_messages_per_s: float
    received_messages_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    busiest_bytes_per_s: float
    processor_us_per_s: float


class TrafficCounter:
    """Message counts and processor time of one sampled instance."""

    def __init__(self) -> None:
        self.sent_messages = 0
        self.received_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.spent_ns = 0


class PartMesh:
    """A loss-free network of parts that measures a sample of the instances.

    :param parts: the parts by instance.
    :param sampled: the instances that are measured.
    :param tick_ms: the time between two ticks of a part.
    """

    def __init__(
        self, parts: Mapping[str, SimulatedPart], sampled: Sequence[str], tick_ms: int
    ) -> None:
        self.now_ms = 0
        self._parts = parts
        self._tick_ms = tick_ms
        self._counters = {name: TrafficCounter() for name in sampled}
        self._ticks = [(i % tick_ms, name) for i, name in enumerate(parts)]
        heapq.heapify(self._ticks)
        self._deliveries: list[Delivery] = []
        self._number = 0

    def run(self, duration_ms: int) -> None:
        """Advance the virtual clock.

        :param duration_ms: by how much.
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
        """Return the mean costs, but for processor time the median over windows.

        :param window_ms: duration of each window.
        :param windows: number of consecutive windows.
        """
        for name in self._counters:
            self._counters[name] = TrafficCounter()
        processor_us = []
        for _ in range(windows):
            before_ns = sum(counter.spent_ns for counter in self._counters.values())
            self.run(window_ms)
            spent_ns = (
                sum(traffic.spent_ns for traffic in self._counters.values()) - before_ns
            )
            processor_us.append(spent_ns / NS_PER_US / len(self._counters))
        counters = self._counters.values()
        instance_seconds = len(counters) * windows * window_ms / MS_PER_S
        busiest_bytes = max(
            counter.sent_bytes + counter.received_bytes for counter in counters
        )
        return Costs(
            sum(counter.sent_messages for counter in counters) / instance_seconds,
            sum(counter.received_messages for counter in counters) / instance_seconds,
            sum(counter.sent_bytes for counter in counters) / instance_seconds,
            sum(counter.received_bytes for counter in counters) / instance_seconds,
            busiest_bytes / (windows * window_ms / MS_PER_S),
            statistics.median(processor_us) / (window_ms / MS_PER_S),
        )

    def _tick(self, instance: str) -> None:
        self._parts[instance].prepare(self.now_ms)
        start_ns = time.process_time_ns()
        actions = self._parts[instance].tick(self.now_ms)
        self._add_processor_time(instance, start_ns)
        self._execute_actions(instance, actions)
        heapq.heappush(self._ticks, (self.now_ms + self._tick_ms, instance))

    def _deliver(self, delivery: Delivery) -> None:
        instance = delivery.target
        message = delivery.message
        counter = self._counters.get(instance)
        if counter is not None:
            frame = encode(delivery.sender, instance, message)
            counter.received_messages += 1
            counter.received_bytes += len(frame)
            start_ns = time.process_time_ns()
            message = decode(frame, instance)
            self._add_processor_time(instance, start_ns)
        start_ns = time.process_time_ns()
        actions = self._parts[instance].receive(delivery.sender, message, self.now_ms)
        self._add_processor_time(instance, start_ns)
        self._execute_actions(instance, actions)

    def _execute_actions(self, instance: str, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(instance, action)
            else:
                start_ns = time.process_time_ns()
                reply = self._parts[instance].execute_action(action, self.now_ms)
                self._add_processor_time(instance, start_ns)
                self._execute_actions(instance, reply)

    def _send(self, sender: str, action: SendPeer) -> None:
        counter = self._counters.get(sender)
        if counter is not None:
            start_ns = time.process_time_ns()
            frame = encode(sender, action.instance, action.message)
            self._add_processor_time(sender, start_ns)
            counter.sent_messages += 1
            counter.sent_bytes += len(frame)
        if action.instance not in self._parts:
            return
        self._number += 1
        at_ms = self.now_ms + DELAY_MS
        heapq.heappush(
            self._deliveries,
            Delivery(at_ms, self._number, sender, action.instance, action.message),
        )

    def _add_processor_time(self, instance: str, start_ns: int) -> None:
        counter = self._counters.get(instance)
        if counter is not None:
            counter.spent_ns += time.process_time_ns() - start_ns


def choose_sampled(instances: Sequence[str], count: int) -> list[str]:
    """Return instances spread evenly over all.

    :param instances: the names of all instances.
    :param count: the maximum number to return.
    """
    step = max(1, len(instances) // count)
    return list(instances)[::step][:count]
