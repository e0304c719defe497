"""Length estimates and prefix hashes of prompts.

The hashes must equal those in the engines' cache events: one for each full
block of the rendered prompt, each covering all blocks before it as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.endpoints.chat_documents import ChatMessage

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
MAX_BLOCKS = 64
HASH_MASK = (1 << 62) - 1


def render_messages(messages: Sequence[ChatMessage]) -> str:
    """Return the messages as the single text that an engine reads.

    :param messages: the request's messages.
    """
    return '\n'.join([_read_content(message) for message in messages])


def estimate_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt.

    :param prompt: the rendered text.
    """
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's first blocks, up to ``MAX_BLOCKS``.

    :param prompt: the rendered text.
    """
    hasher = xxhash.xxh64()
    hashes = []
    end = min(len(prompt), MAX_BLOCKS * BLOCK_CHARS)
    for start in range(0, end - BLOCK_CHARS + 1, BLOCK_CHARS):
        hasher.update(prompt[start : start + BLOCK_CHARS].encode('utf-8', 'replace'))
        hashes.append(hasher.intdigest() & HASH_MASK)
    return tuple(hashes)


def _read_content(message: ChatMessage) -> str:
    content = message.get('content')
    if isinstance(content, str):
        return content
    if content is None:
        return ''
    return ''.join([bytes(part).decode('utf-8', 'replace') for part in content])
