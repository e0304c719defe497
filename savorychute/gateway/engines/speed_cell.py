"""Groups of observations that may be compared between engines."""

from __future__ import annotations

# The time between events grows with the number of streams, so it is compared between
# engines that ran about as many.
STREAMS_PER_CELL = 8
GENERATION_CELLS = 16
FIRST_PREFILL_CELL = GENERATION_CELLS
# Prompts below this size show the overhead and not the prefill.
MIN_PREFILL_TOKENS = 1_000
PREFILL_CELLS = 8
# Gaps in any state of the engine.  They show its load too, so only large differences
# count; but an engine that has become slow is never seen without prefills.
ANY_STATE_CELL = FIRST_PREFILL_CELL + PREFILL_CELLS
CELLS = ANY_STATE_CELL + 1
# Assumed to compare prompts of different sizes in one cell; errors of the scale cancel.
ASSUMED_OVERHEAD_MS = 90.0
ASSUMED_TOKENS_PER_MS = 60.0


def generation_cell(streams: int) -> int:
    """Return the cell of a gap while nothing is prefilled.

    :param streams: number of streams that the engine generates.
    """
    return min(max(0, streams) // STREAMS_PER_CELL, GENERATION_CELLS - 1)


def prefill_cell(tokens: int) -> int:
    """Return the cell of a prefill; each holds sizes within a factor of two.

    :param tokens: size of the prompt, at least ``MIN_PREFILL_TOKENS``.
    """
    octave = (tokens // MIN_PREFILL_TOKENS).bit_length() - 1
    return FIRST_PREFILL_CELL + min(max(0, octave), PREFILL_CELLS - 1)


def is_generation(cell: int) -> bool:
    """Return whether a cell shows the speed of generation, not of prefill.

    :param cell: the cell.
    """
    return cell < FIRST_PREFILL_CELL


def prefill_units(tokens: int) -> float:
    """Return by which amount the time of a prefill is divided within its cell.

    :param tokens: size of the prompt.
    """
    return ASSUMED_OVERHEAD_MS + tokens / ASSUMED_TOKENS_PER_MS
