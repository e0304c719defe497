"""Access to the platform's log and instance list over HTTP."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from savorychute.http.timed_call import submit_timed
from savorychute.inputs import ListingFetched, RecordsRead
from savorychute.platforms import LISTINGS, LOGS

if TYPE_CHECKING:
    from savorychute.actions import AppendRecord, FetchListing, ReadRecords
    from savorychute.daemon.host_port import HostPort
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.http_response import HttpResponse


class PlatformRunner:
    """Executes appends, reads and fetches.

    :param host: receives the inputs for the instance.
    :param pool: the connections to the platform.
    """

    def __init__(self, host: HostPort, pool: ClientPool) -> None:
        settings = host.settings
        self._host = host
        self._pool = pool
        self._log = LOGS.get(settings.log_dialect)
        self._listing = LISTINGS.get(settings.list_dialect)
        self._log_address = settings.log_address
        self._list_address = settings.list_address
        self._timeout_ms = settings.platform_timeout_ms

    def append(self, action: AppendRecord) -> None:
        """Append a record.

        :param action: the stream and the payload.
        """
        submit_timed(
            self._pool,
            self._log_address,
            self._log.build_append(action),
            self._timeout_ms,
            partial(self._finish_append, action),
            partial(self._fail_append, action),
            # The response to an earlier append, if late, would be taken for its own.
            unused=True,
        )

    def read(self, action: ReadRecords) -> None:
        """Read records.

        :param action: the stream and the first offset.
        """
        submit_timed(
            self._pool,
            self._log_address,
            self._log.build_read(action),
            self._timeout_ms,
            partial(self._finish_read, action),
            partial(self._fail_read, action),
        )

    def fetch_listing(self, action: FetchListing) -> None:  # noqa: ARG002
        """Fetch the list of instances."""
        submit_timed(
            self._pool,
            self._list_address,
            self._listing.build_fetch(),
            self._timeout_ms,
            self._finish_listing,
            self._fail_listing,
        )

    def _finish_append(self, action: AppendRecord, response: HttpResponse) -> None:
        self._host.deliver(self._log.finish_append(action, response))

    def _fail_append(self, action: AppendRecord, failure: CallFailure) -> None:
        self._host.deliver(self._log.fail_append(action, failure))

    def _finish_read(self, action: ReadRecords, response: HttpResponse) -> None:
        self._host.deliver(self._log.finish_read(action, response))

    def _fail_read(self, action: ReadRecords, failure: CallFailure) -> None:  # noqa: ARG002
        self._host.deliver(RecordsRead(action.stream, ok=False))

    def _finish_listing(self, response: HttpResponse) -> None:
        self._host.deliver(self._listing.read_listing(response))

    def _fail_listing(self, failure: CallFailure) -> None:  # noqa: ARG002
        self._host.deliver(ListingFetched(ok=False))
