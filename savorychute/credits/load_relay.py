"""Load reports that are sent together with grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.credits.endpoint_group import hash_name
from savorychute.credits.endpoint_load import EndpointLoad
from savorychute.inputs import LoadReported

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.credits.endpoint_group import EndpointGroup

#: Older reports are not relayed.
MAX_LOAD_AGE_MS = 2_000


class _Observed(NamedTuple):
    report: LoadReported
    measured_ms: int


class LoadRelay:
    """Relays load reports to instances that do not poll the endpoints themselves.

    A report that this instance has fetched itself is not replaced by an older one.
    """

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}
        self._relayed: list[LoadReported] = []

    def record_load(self, report: LoadReported, now_ms: int) -> None:
        """Record a report that this instance has fetched.

        :param report: load report of an endpoint.
        :param now_ms: the current time.
        """
        measured_ms = now_ms - max(0, report.age_ms)
        self._observed[report.endpoint] = _Observed(report, measured_ms)

    def list_loads(
        self, group: EndpointGroup, since_ms: int, now_ms: int
    ) -> tuple[EndpointLoad, ...]:
        """Return the recent load reports of a group's endpoints.

        :param group: the group of endpoints.
        :param since_ms: older reports are already known to the receiver.
        :param now_ms: the current time.
        """
        loads = []
        for name in group.names.values():
            observed = self._observed.get(name)
            if observed is None or observed.measured_ms < max(
                since_ms, now_ms - MAX_LOAD_AGE_MS
            ):
                continue
            report = observed.report
            loads.append(
                EndpointLoad(
                    hash_name(name),
                    now_ms - observed.measured_ms,
                    report.running,
                    report.waiting,
                    report.kv_free_share,
                    report.step_ms,
                )
            )
        return tuple(loads)

    def receive_loads(
        self,
        group: EndpointGroup,
        endpoints: dict[str, EndpointDocument],
        loads: tuple[EndpointLoad, ...],
        now_ms: int,
    ) -> None:
        """Receive the load reports that a home relayed.

        :param group: the group of endpoints.
        :param endpoints: endpoint documents by name.
        :param loads: loads of some of the endpoints.
        :param now_ms: the current time.
        """
        for load in loads:
            name = group.names.get(load.endpoint, '')
            if name not in endpoints:
                continue
            observed = self._observed.get(name)
            if observed is not None and now_ms - load.age_ms <= observed.measured_ms:
                continue
            self._relayed.append(_to_report(name, load, endpoints[name], observed))

    def pop_reports(self) -> list[LoadReported]:
        """Return the reports that were received since the last call."""
        relayed, self._relayed = self._relayed, []
        return relayed


def _to_report(
    name: str,
    load: EndpointLoad,
    document: EndpointDocument,
    observed: _Observed | None,
) -> LoadReported:
    """Return a report without cache events, which keeps the cache cursor."""
    return LoadReported(
        endpoint=name,
        age_ms=load.age_ms,
        running=load.running,
        waiting=load.waiting,
        kv_free_share=load.kv_free_share,
        step_ms=load.step_ms,
        models=tuple(document.get('models', ())),
        state=document['state'],
        cache_sequence=0 if observed is None else observed.report.cache_sequence,
        cached=(),
        evicted=(),
        cache_gap=False,
    )
