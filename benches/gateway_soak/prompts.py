"""Prompts that share parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

BAD_PART = 'bad0'
SHARED_PART = '5a0'
DOCUMENTS = 12


def make_prompt(rng: random.Random, *parts: str) -> tuple[str, str]:
    """Return the header of a prompt with some parts and one of its own.

    :param rng: random numbers for the own part.
    :param parts: the parts that others may share.
    """
    items = (SHARED_PART, *parts, f'{rng.getrandbits(48):x}')
    return 'prefix-hash', ','.join(f'{item}:30' for item in items)


def make_sound_prompt(rng: random.Random) -> tuple[str, str]:
    """Return the header of a prompt on which no endpoint crashes.

    :param rng: random numbers for its parts.
    """
    return make_prompt(rng, f'd{rng.randrange(DOCUMENTS)}')
