"""An update of one endpoint's entry, as exchanged between instances."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
from savorychute.http.client_pool import ServerAddress


class EndpointNews(NamedTuple):
    """The entry after the record at ``offset``; only its name if it is ``gone``.

    ``unreadable`` is set together with ``gone`` if the newest entry cannot be decoded.
    ``convinced`` is set if the run seemed older than the previous one but continued to
    report.  An instance of an earlier release sends no software version; its news lacks
    ``has_software_version``.
    """

    offset: int
    endpoint: str
    gone: bool
    service: str = ''
    host: str = ''
    port: int = 0
    failure_domain: str = ''
    slots: int = 0
    draining: bool = False
    sequence: int = 0
    born_ms: int = 0
    unreadable: bool = False
    convinced: bool = False
    reclaimable: bool = False
    software_version: str = ''
    has_software_version: bool = False

    def to_entry(self) -> EndpointEntry:
        """Return the entry."""
        return EndpointEntry(
            self.endpoint,
            self.service,
            ServerAddress(self.host, self.port),
            self.failure_domain,
            self.slots,
            self.draining,
            self.sequence,
            self.born_ms,
            self.reclaimable,
            self.software_version if self.has_software_version else None,
        )


def make_endpoint_news(offset: int, entry: EndpointEntry) -> EndpointNews:
    """Return an update with an entry.

    :param offset: the offset of the record that holds the entry.
    :param entry: the entry.
    """
    return EndpointNews(
        offset=offset,
        endpoint=entry.endpoint,
        gone=False,
        service=entry.service,
        host=entry.address.host,
        port=entry.address.port,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        draining=entry.draining,
        sequence=entry.sequence,
        born_ms=entry.born_ms,
        reclaimable=entry.reclaimable,
        software_version=entry.software_version or '',
        has_software_version=entry.software_version is not None,
    )
