"""The interface to the platform's append-only log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from savorychute.actions import AppendRecord, ReadRecords
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.http_response import HttpResponse
    from savorychute.inputs import AppendFinished, RecordsRead


class LogPort(Protocol):
    """Converts appends and reads to and from HTTP; stateless."""

    def build_append(self, action: AppendRecord) -> HttpRequest:
        """Return the request that appends a record."""
        ...

    def finish_append(
        self, action: AppendRecord, response: HttpResponse
    ) -> AppendFinished:
        """Return the outcome indicated by a response."""
        ...

    def fail_append(self, action: AppendRecord, failure: CallFailure) -> AppendFinished:
        """Return the outcome of a call without a response."""
        ...

    def build_read(self, action: ReadRecords) -> HttpRequest:
        """Return the request that reads records."""
        ...

    def finish_read(self, action: ReadRecords, response: HttpResponse) -> RecordsRead:
        """Return the records in a response."""
        ...


LOGS: Registry[LogPort] = Registry('log')
