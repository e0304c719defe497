"""Load reports that travel with grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.credits.endpoint_group import hash_name
from savorychute.credits.endpoint_load import EndpointLoad
from savorychute.inputs import LoadReported

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup

#: What is older than this is not passed on.
FRESH_MS = 2_000


class _Observed(NamedTuple):
    report: LoadReported
    measured_ms: int


class LoadRelay:
    """Passes on what a home knows of endpoints that others do not poll.

    A report that this instance has fetched itself is not replaced by one that
    is older.
    """

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}
        self._news: list[LoadReported] = []

    def observe(self, report: LoadReported, now_ms: int) -> None:
        """Note a report that this instance has fetched.

        :param report: the endpoint's report.
        :param now_ms: the time.
        """
        measured_ms = now_ms - max(0, report.age_ms)
        self._observed[report.endpoint] = _Observed(report, measured_ms)

    def list_loads(
        self, group: EndpointGroup, since_ms: int, now_ms: int
    ) -> tuple[EndpointLoad, ...]:
        """Return what was measured lately at the endpoints of a group.

        :param group: the endpoints.
        :param since_ms: what the receiver knows already.
        :param now_ms: the time.
        """
        loads = []
        for name in group.names.values():
            seen = self._observed.get(name)
            if seen is None or seen.measured_ms < max(since_ms, now_ms - FRESH_MS):
                continue
            report = seen.report
            loads.append(
                EndpointLoad(
                    hash_name(name),
                    now_ms - seen.measured_ms,
                    report.running,
                    report.waiting,
                    report.kv_free_share,
                    report.step_ms,
                )
            )
        return tuple(loads)

    def take_loads(
        self,
        group: EndpointGroup,
        endpoints: dict[str, EndpointDocument],
        loads: tuple[EndpointLoad, ...],
        now_ms: int,
    ) -> None:
        """Take in what a home passed on.

        :param group: the endpoints.
        :param endpoints: by name.
        :param loads: of some of them.
        :param now_ms: the time.
        """
        for load in loads:
            name = group.names.get(load.endpoint, '')
            if name not in endpoints:
                continue
            seen = self._observed.get(name)
            if seen is not None and now_ms - load.age_ms <= seen.measured_ms:
                continue
            self._news.append(_to_report(name, load, endpoints[name], seen))

    def take_reports(self) -> list[LoadReported]:
        """Return what was passed on since the last call."""
        news, self._news = self._news, []
        return news


def _to_report(
    name: str,
    load: EndpointLoad,
    document: EndpointDocument,
    seen: _Observed | None,
) -> LoadReported:
    """Return a report without cache events, whose cursor stays where it is."""
    return LoadReported(
        endpoint=name,
        age_ms=load.age_ms,
        running=load.running,
        waiting=load.waiting,
        kv_free_share=load.kv_free_share,
        step_ms=load.step_ms,
        models=tuple(document.get('models', ())),
        state=document['state'],
        cache_sequence=0 if seen is None else seen.report.cache_sequence,
        cached=(),
        evicted=(),
        cache_gap=False,
    )
