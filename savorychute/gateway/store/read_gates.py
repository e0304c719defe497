"""The conditions under which this instance reads a topic itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.store.endpoint_journal import EndpointJournal
    from savorychute.gateway.store.read_plan import ReadPlan


class PlanGate:
    """The conditions that all topics have in common.

    :param plan: determines which instances read.
    """

    def __init__(self, plan: ReadPlan) -> None:
        self._plan = plan

    def reads_for_all(self) -> bool:
        """Return whether this instance reads for all instances."""
        return self._plan.reads_for_all()

    def can_wait(self) -> bool:
        """Return whether a read may wait for a change."""
        return self._plan.can_wait()

    def max_retry_ms(self) -> int:
        """Return the longest delay between two failing reads."""
        return self._plan.max_retry_ms()


class ConfigurationGate(PlanGate):
    """Opens for readers, for a missing version and for stale state.

    :param plan: determines which instances read.
    """

    def is_open(self) -> bool:
        """Return whether to read now."""
        return self._plan.must_read_configuration()

    def next_offset(self, own_offset: int | None) -> int | None:
        """Return the offset at which this instance's last read ended."""
        return own_offset


class EndpointGate(PlanGate):
    """Opens for readers, for missing changes and for stale state.

    Responses of other instances advance the journal, so the next read starts at the end
    of the journal.

    :param plan: determines which instances read.
    :param journal: the changes known here.
    """

    def __init__(self, plan: ReadPlan, journal: EndpointJournal) -> None:
        super().__init__(plan)
        self._journal = journal

    def is_open(self) -> bool:
        """Return whether to read now."""
        return self._plan.must_read_endpoints()

    def next_offset(self, own_offset: int | None) -> int | None:
        """Return the end of the journal, or None if the topic must be listed."""
        if own_offset is None or self._plan.must_list_endpoints:
            return None
        return self._journal.offset
