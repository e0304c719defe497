"""What becomes of the streams of an engine that leaves."""

from __future__ import annotations

import math
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

# Answers are often somewhat longer than expected.
REMAINING_FACTOR = 1.3
REMAINING_MARGIN_MS = 100.0
# An answer that has reached its expected length goes on for this share of it.
OVERDUE_SHARE = 0.2
# Part of the notice that is not planned, as copies take longer than predicted.
UNPLANNED_MS = 50.0
BITS_PER_BYTE = 8
BITS_PER_MS_PER_MBPS = 1_000


class Departure(Enum):
    """What becomes of a stream.

    ``STAY``: it ends before its engine, or cannot be saved.  ``MOVE``: its memory is
    copied while it goes on, and what is new after it has stopped.  ``STOP_AND_MOVE``: it
    stops first, as the time is too short for two copies.  ``RESTART``: another engine
    reads its prompt again, shortly before its own engine ends.
    """

    STAY = auto()
    MOVE = auto()
    STOP_AND_MOVE = auto()
    RESTART = auto()


class LeavingStream(NamedTuple):
    """A stream at an engine that leaves.

    ``number`` identifies it.  ``tokens`` are in the engine's memory, to which
    ``tokens_per_ms`` are added.  ``remaining_ms`` is the expected time until its last
    event, and ``worth_ms`` the time that engines have spent on it.  ``restart_ms`` is
    what it would cost to read its prompt again elsewhere, in engine time and time without
    an event; it is infinite if that is unknown.
    """

    number: int
    rank: int
    tokens: int
    tokens_per_ms: float
    remaining_ms: float
    worth_ms: float
    may_run_again: bool = False
    restart_ms: float = math.inf


class Link(NamedTuple):
    """The link of an engine: time for each token, and for each call besides."""

    token_ms: float
    call_ms: float


class PlannedStream(NamedTuple):
    """A stream and what becomes of it."""

    stream: LeavingStream
    departure: Departure


def token_transfer_ms(kv_bytes_per_token: float, link_mbps: float) -> float:
    """Return the time in which a link carries the memory of a token; 0 if unknown.

    :param kv_bytes_per_token: size of the memory of a token.
    :param link_mbps: rate of the link.
    """
    if kv_bytes_per_token <= 0 or link_mbps <= 0:
        return 0.0
    return kv_bytes_per_token * BITS_PER_BYTE / (link_mbps * BITS_PER_MS_PER_MBPS)


def expect_remaining_ms(events: int, expected_events: float, event_ms: float) -> float:
    """Return the expected time until the last event of a stream.

    :param events: events so far.
    :param expected_events: expected number of events.
    :param event_ms: time between two events.
    """
    overdue_events = max(1.0, OVERDUE_SHARE * expected_events)
    return max(expected_events - events, overdue_events) * event_ms


def plan_departure(
    streams: Iterable[LeavingStream], left_ms: float, link: Link
) -> list[PlannedStream]:
    """Return the streams that outlast their engine, in the order of their moves.

    Streams that may not run again come first, as they would be lost, then the more urgent
    ones, then those that cost most so far.  One that the link cannot carry in time is
    passed over, and a smaller one behind it may still fit.

    :param streams: the streams that are not being moved.
    :param left_ms: the time until the engine ends.
    :param link: the engine's link.
    """
    outlasting = [
        each
        for each in streams
        if REMAINING_FACTOR * each.remaining_ms + REMAINING_MARGIN_MS > left_ms
    ]
    outlasting.sort(key=lambda each: (each.may_run_again, each.rank, -each.worth_ms))
    planned = []
    used_ms = UNPLANNED_MS
    for stream in outlasting:
        departure, link_ms = _plan_stream(stream, left_ms - used_ms, link)
        used_ms += link_ms
        planned.append(PlannedStream(stream, departure))
    return planned


def _plan_stream(
    stream: LeavingStream, left_ms: float, link: Link
) -> tuple[Departure, float]:
    """Return what becomes of a stream, and for how long it occupies the link."""
    copy_ms = link.token_ms * stream.tokens
    rest_ms = link.token_ms * stream.tokens_per_ms * (copy_ms + link.call_ms)
    # A move takes link time from other moves, and its caller waits for the last call.
    move_ms = copy_ms + rest_ms + link.call_ms
    if stream.may_run_again and stream.restart_ms < move_ms:
        return Departure.RESTART, 0.0
    if copy_ms + rest_ms + 2 * link.call_ms <= left_ms:
        return Departure.MOVE, copy_ms + rest_ms
    if copy_ms + link.call_ms <= left_ms:
        return Departure.STOP_AND_MOVE, copy_ms
    return (Departure.RESTART if stream.may_run_again else Departure.STAY), 0.0
