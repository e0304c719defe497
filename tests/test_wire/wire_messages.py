"""Messages with every kind of field."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.member_address import MemberAddress
from savorychute.ran import Ran


class Entry(NamedTuple):
    """A flat record."""

    endpoint: str
    tier: int
    share: float
    urgent: bool = False


class Report(NamedTuple):
    """A message with every kind of field."""

    pool: str
    entries: tuple[Entry, ...]
    home: MemberAddress
    digest: bytes
    offsets: tuple[int, ...]
    names: tuple[str, ...]
    ran: Ran
    window_ms: int = 250


TEST_MESSAGES: dict[int, type] = {900: Report, 901: Entry}


def make_report() -> Report:
    """Return a report with sixteen entries."""
    home = MemberAddress('a-1', 7, 'kerala', 'kochi-hall', '127.0.0.1', 1, 2)
    entries = tuple(Entry(f'engine-{i}', i % 5, i / 16, i == 3) for i in range(16))
    return Report('llama', entries, home, b'\x00\xff', (1, -2), ('å', ''), Ran.NOT_RUN)
