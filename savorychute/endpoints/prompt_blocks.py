"""What the router learns from a prompt: its length and its prefixes.

The hashes must be those that engines put into their cache events: one for
each full block of the rendered prompt, each covering all blocks before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.endpoints.chat_documents import ChatMessage

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
BLOCKS_KEPT = 64
HASH_BITS_KEPT = (1 << 62) - 1


def render_messages(messages: Sequence[ChatMessage]) -> str:
    """Return the messages as the one text that an engine reads.

    :param messages: the request's messages.
    """
    return '\n'.join([_read_content(message) for message in messages])


def estimate_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has.

    :param prompt: the rendered text.
    """
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's first blocks, at most a bound.

    :param prompt: the rendered text.
    """
    chain = xxhash.xxh64()
    hashes = []
    end = min(len(prompt), BLOCKS_KEPT * BLOCK_CHARS)
    for start in range(0, end - BLOCK_CHARS + 1, BLOCK_CHARS):
        chain.update(prompt[start : start + BLOCK_CHARS].encode('utf-8', 'replace'))
        hashes.append(chain.intdigest() & HASH_BITS_KEPT)
    return tuple(hashes)


def _read_content(message: ChatMessage) -> str:
    content = message.get('content')
    if isinstance(content, str):
        return content
    if content is None:
        return ''
    return ''.join([bytes(part).decode('utf-8', 'replace') for part in content])
