"""Prefix hashes of the stand-in engine, chained over the blocks of a prompt."""

from __future__ import annotations

import xxhash

from savorychute.testing.answers import CHARS_PER_TOKEN

BLOCK_CHARS = 256
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
HASH_MASK = (1 << 62) - 1


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return a hash for each full block that covers it and all blocks before it."""
    chain = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        chain.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(chain.intdigest() & HASH_MASK)
    return tuple(hashes)
