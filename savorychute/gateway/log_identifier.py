"""Identifiers in log lines, whose fields take no free text."""

from __future__ import annotations

import re

MAX_IDENTIFIER_CHARS = 100
DISALLOWED_CHARS = re.compile(r'[^A-Za-z0-9_.:/@+=,#-]+')


def make_identifier(text: str) -> str:
    """Return a text as one identifier; other characters become hyphens.

    :param text: any text.
    """
    return DISALLOWED_CHARS.sub('-', text)[:MAX_IDENTIFIER_CHARS]
