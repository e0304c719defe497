"""Answers of the stand-in engine, each a function of the prompt alone.

This lets a test check that a caller received the complete answer to its own request.
"""

from __future__ import annotations

import re

import xxhash

CHARS_PER_TOKEN = 4
LENGTH_MARKER = re.compile(r'#tokens=(\d+)')
POISON_MARKER = '#poison'
MIN_ANSWER_TOKENS = 8
ANSWER_SPREAD_TOKENS = 120


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def digest_prompt(prompt: str) -> str:
    """Return the digest that appears in every token of the prompt's answer."""
    return xxhash.xxh32(prompt.encode()).hexdigest()


def count_answer_tokens(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of the answer.

    :param prompt: may set the length by ``#tokens=<n>``.
    :param max_tokens: the caller's limit, or 0 for none.
    """
    match = LENGTH_MARKER.search(prompt)
    if match:
        length_tokens = max(1, int(match.group(1)))
    else:
        spread = xxhash.xxh32(prompt.encode(), seed=1).intdigest()
        length_tokens = MIN_ANSWER_TOKENS + spread % ANSWER_SPREAD_TOKENS
    return min(length_tokens, max_tokens) if max_tokens > 0 else length_tokens


def write_tokens(digest: str, start: int, stop: int) -> str:
    """Return the tokens of the answer from *start* up to *stop*, exclusive.

    :param digest: the result of :func:`digest_prompt`.
    """
    return ''.join([f' {digest}.{number}' for number in range(start, stop)])


def write_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    length_tokens = count_answer_tokens(prompt, max_tokens)
    return write_tokens(digest_prompt(prompt), 0, length_tokens)
