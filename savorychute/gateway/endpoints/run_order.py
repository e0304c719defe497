"""Which of an endpoint's runs is the newest."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry

# Reports of a run that seems older, one after the other and none of the newer run between
# them, before it is believed to be the living one.  A write that the store executes late
# brings one or two at most; an endpoint whose clock was set back goes on reporting.
CONVINCING = 3
# Names that are remembered, the latest used: more than endpoints come and go in the
# seconds for which the store may hold a late write.
NAMES_KEPT = 4_096


class EntryVerdict(Enum):
    """What an entry is taken for."""

    CURRENT = auto()
    NEW_RUN = auto()
    OLD_RUN = auto()


class _Known(NamedTuple):
    born_ms: int
    doubted_sequence: int = -1
    doubted_ms: int = 0
    doubts: int = 0


class RunOrder:
    """Tells a new run's entry from a late one of an older run.

    Runs are ordered by their start as the endpoint's own clock told it.  That clock may be
    set back between two starts; the new run would then be ignored for as long as it
    lives, and with it that it drains.  So a run that seems older is believed once it has
    reported several times in a row.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def judge(self, entry: EndpointEntry) -> EntryVerdict:
        """Return what an entry is taken for, and remember it.

        :param entry: the entry, in the order of the store.
        """
        known = self._known.pop(entry.endpoint, None)
        if known is None or entry.born_ms > known.born_ms:
            self._keep(entry.endpoint, _Known(entry.born_ms))
            return EntryVerdict.NEW_RUN
        if entry.born_ms == known.born_ms:
            self._keep(entry.endpoint, _Known(entry.born_ms))
            return EntryVerdict.CURRENT
        doubted = _doubt(known, entry)
        if doubted.doubts >= CONVINCING:
            self._keep(entry.endpoint, _Known(entry.born_ms))
            return EntryVerdict.NEW_RUN
        self._keep(entry.endpoint, doubted)
        return EntryVerdict.OLD_RUN

    def believe(self, entry: EndpointEntry) -> None:
        """Take a run for the newest because another instance has been convinced.

        :param entry: of the run.
        """
        self._known.pop(entry.endpoint, None)
        self._keep(entry.endpoint, _Known(entry.born_ms))

    def _keep(self, endpoint: str, known: _Known) -> None:
        self._known[endpoint] = known
        if len(self._known) > NAMES_KEPT:
            self._known.pop(next(iter(self._known)))


def _doubt(known: _Known, entry: EndpointEntry) -> _Known:
    """Count one more report of a run that seems older than the known one."""
    same = entry.born_ms == known.doubted_ms
    if not same:
        return _Known(known.born_ms, entry.sequence, entry.born_ms, 1)
    if entry.sequence <= known.doubted_sequence:
        return known
    return known._replace(doubted_sequence=entry.sequence, doubts=known.doubts + 1)
