"""The stand-in engine's prefix hashes: a chain over the prompt's blocks."""

from __future__ import annotations

import xxhash

from savorychute.testing.answers import CHARS_PER_TOKEN

BLOCK_CHARS = 256
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
HASH_BITS_KEPT = (1 << 62) - 1


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return one hash for each full block, covering all blocks before it."""
    chain = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        chain.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(chain.intdigest() & HASH_BITS_KEPT)
    return tuple(hashes)
