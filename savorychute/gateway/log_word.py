"""Words of log lines, which take no free text."""

from __future__ import annotations

import re

WORD_CHARS = 100
FOREIGN = re.compile(r'[^A-Za-z0-9_.:/@+=,#-]+')


def make_word(text: str) -> str:
    """Return a text as one identifier.

    :param text: any text.
    """
    return FOREIGN.sub('-', text)[:WORD_CHARS]
