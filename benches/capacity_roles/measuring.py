"""Functions that measure bytes, memory and processor time."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

from savorychute.wire.message_codec import decode_message, encode_message
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.peer_packages import load_peer_messages

if TYPE_CHECKING:
    from collections.abc import Callable

NS_PER_US = 1_000
REPETITIONS = 5
KEYS = PeerKeys(PeerKey(1, b'capacity measurement, no secret.'))

load_peer_messages()


def encode(sender: str, receiver: str, message: tuple[object, ...]) -> bytes:
    """Return a message as the daemon sends it, signed.

    :param sender: the sending instance.
    :param receiver: the receiving instance.
    :param message: a registered peer message.
    """
    return encode_message(sender, 1, message, KEYS, receiver, 1)


def decode(data: bytes, receiver: str) -> tuple[object, ...]:
    """Return the message from the bytes that :func:`encode` returned.

    :param data: the signed frame.
    :param receiver: the receiving instance.
    """
    message: tuple[object, ...] = decode_message(data, KEYS, receiver).message
    return message


def time_us(work: Callable[[], object], repetitions: int = REPETITIONS) -> float:
    """Return the median processor time of a function, in microseconds.

    Processor time, not wall time, because the machine is shared.

    :param work: called once for each repetition.
    :param repetitions: number of repetitions.
    """
    samples = []
    for _ in range(repetitions):
        gc.collect()
        start_ns = time.process_time_ns()
        work()
        samples.append((time.process_time_ns() - start_ns) / NS_PER_US)
    return statistics.median(samples)


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the size of the Python objects that a built part retains.

    :param build: returns the part; none of its objects may exist before the call.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        part = build()
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del part
    return float(after_bytes - before_bytes)
