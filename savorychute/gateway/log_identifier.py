"""Identifiers in log lines, whose fields take no free text."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_IDENTIFIER_CHARS = 100
MAX_TRAITS = 5
DISALLOWED_CHARS = re.compile(r'[^A-Za-z0-9_.:/@+=,#-]+')


def make_identifier(text: str) -> str:
    """Return a text as one identifier; other characters become hyphens.

    :param text: any text.
    """
    return DISALLOWED_CHARS.sub('-', text)[:MAX_IDENTIFIER_CHARS]


def list_traits(traits: Iterable[int]) -> str:
    """Return some digests as one identifier, the first ones if there are many.

    :param traits: the digests.
    """
    return ','.join([f'{trait:x}' for trait in traits][:MAX_TRAITS])
