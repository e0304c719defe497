"""Order of an endpoint's runs."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry

# Consecutive reports of a run that seems older, without one of the newer run between
# them, after which it is accepted as the current run.  A write that the store executes
# late causes one or two at most; an endpoint whose clock was set back continues to
# report.
CONVINCING_REPORTS = 3
# Maximum number of names that are remembered, the most recently used: more than the
# endpoints that start and end while the store may delay a write, some seconds.
MAX_NAMES = 4_096


class EntryVerdict(Enum):
    """Classification of an entry.

    ``OUTDATED``: an entry of the current run that is older than the known one.
    """

    CURRENT = auto()
    OUTDATED = auto()
    NEW_RUN = auto()
    OLD_RUN = auto()


class _KnownRun(NamedTuple):
    born_ms: int
    older_sequence: int = -1
    older_born_ms: int = 0
    older_reports: int = 0


class RunOrder:
    """Distinguishes the entry of a new run from a late entry of an older run.

    Runs are ordered by their start times, which come from the endpoint's own clock.  If
    that clock is set back between two starts, the new run would be ignored for its
    whole lifetime, and so would its announcement that it drains.  Therefore a run that
    seems older is accepted once it has reported several times in a row.
    """

    def __init__(self) -> None:
        self._known: dict[str, _KnownRun] = {}

    def classify(self, entry: EndpointEntry) -> EntryVerdict:
        """Return the classification of an entry, and remember its run.

        :param entry: the entry, in the order of the store.
        """
        known = self._known.pop(entry.endpoint, None)
        if known is None or entry.born_ms > known.born_ms:
            self._store(entry.endpoint, _KnownRun(entry.born_ms))
            return EntryVerdict.NEW_RUN
        if entry.born_ms == known.born_ms:
            self._store(entry.endpoint, _KnownRun(entry.born_ms))
            return EntryVerdict.CURRENT
        updated = _count_older_report(known, entry)
        if updated.older_reports >= CONVINCING_REPORTS:
            self._store(entry.endpoint, _KnownRun(entry.born_ms))
            return EntryVerdict.NEW_RUN
        self._store(entry.endpoint, updated)
        return EntryVerdict.OLD_RUN

    def accept(self, entry: EndpointEntry) -> None:
        """Accept a run as the newest because another instance has accepted it.

        :param entry: an entry of the run.
        """
        self._known.pop(entry.endpoint, None)
        self._store(entry.endpoint, _KnownRun(entry.born_ms))

    def _store(self, endpoint: str, known: _KnownRun) -> None:
        self._known[endpoint] = known
        if len(self._known) > MAX_NAMES:
            self._known.pop(next(iter(self._known)))


def _count_older_report(known: _KnownRun, entry: EndpointEntry) -> _KnownRun:
    """Count another report of a run that seems older than the known one."""
    is_same_run = entry.born_ms == known.older_born_ms
    if not is_same_run:
        return _KnownRun(known.born_ms, entry.sequence, entry.born_ms, 1)
    if entry.sequence <= known.older_sequence:
        return known
    return known._replace(
        older_sequence=entry.sequence, older_reports=known.older_reports + 1
    )
