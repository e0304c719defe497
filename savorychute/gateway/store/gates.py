"""When this instance reads a topic itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.store.endpoint_journal import EndpointJournal
    from savorychute.gateway.store.reading_plan import ReadingPlan


class PlanGate:
    """What all topics have in common: who reads, and how patiently.

    :param plan: who reads.
    """

    def __init__(self, plan: ReadingPlan) -> None:
        self._plan = plan

    def is_regular(self) -> bool:
        """Return whether this instance reads for all."""
        return self._plan.is_regular()

    def may_wait(self) -> bool:
        """Return whether a read may wait for a change."""
        return self._plan.may_wait()

    def longest_retry_ms(self) -> int:
        """Return the longest pause between two reads that fail."""
        return self._plan.longest_retry_ms()


class ConfigurationGate(PlanGate):
    """Opens for readers, for a version that is missing, and for stale knowledge.

    :param plan: who reads.
    """

    def is_open(self) -> bool:
        """Return whether to read now."""
        return self._plan.reads_configuration()

    def next_offset(self, read: int | None) -> int | None:
        """Return where this instance's own reading ended."""
        return read


class EndpointGate(PlanGate):
    """Opens for readers, for lost changes, and for stale knowledge.

    Others' answers move the journal on, so reading goes on where the journal ends.

    :param plan: who reads.
    :param journal: what is known.
    """

    def __init__(self, plan: ReadingPlan, journal: EndpointJournal) -> None:
        super().__init__(plan)
        self._journal = journal

    def is_open(self) -> bool:
        """Return whether to read now."""
        return self._plan.reads_endpoints()

    def next_offset(self, read: int | None) -> int | None:
        """Return the end of the journal, or None if the topic must be listed."""
        if read is None or self._plan.must_list_endpoints:
            return None
        return self._journal.offset
