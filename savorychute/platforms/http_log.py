"""Access to the platform's log over HTTP."""

from __future__ import annotations

from base64 import b64decode
from typing import TYPE_CHECKING, TypedDict
from urllib.parse import quote

import msgspec

from savorychute.http.http_request import HttpRequest
from savorychute.inputs import AppendFinished, RecordsRead
from savorychute.inputs.log_record import LogRecord
from savorychute.platforms.log_port import LOGS

if TYPE_CHECKING:
    from savorychute.actions import AppendRecord, ReadRecords
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.http_response import HttpResponse

CREATED_STATUS = 201
OK_STATUS = 200
UNAVAILABLE_STATUS = 503
FIRST_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500


class AppendedDocument(TypedDict):
    """The response to an append."""

    offset: int


class RecordDocument(TypedDict):
    """A record in the response to a read."""

    offset: int
    payload_base64: str


class RecordsDocument(TypedDict):
    """The response to a read."""

    first_offset: int
    end_offset: int
    records: list[RecordDocument]


_appended_decoder = msgspec.json.Decoder(AppendedDocument)
_records_decoder = msgspec.json.Decoder(RecordsDocument)


class HttpLog:
    """Appends records with POST requests and reads them with GET requests."""

    def build_append(self, action: AppendRecord) -> HttpRequest:
        """Return the request that appends a record.

        :param action: the stream and the payload.
        """
        headers = (('content-type', 'application/octet-stream'),)
        return HttpRequest('POST', _path(action.stream), headers, action.payload)

    def finish_append(
        self, action: AppendRecord, response: HttpResponse
    ) -> AppendFinished:
        """Return the outcome indicated by a response.

        A success with a malformed document is ``unknown``, so that the record is
        looked up instead of being appended again.

        :param action: the append.
        :param response: the complete response.
        """
        outcome = 'unknown'
        offset = -1
        if response.status == CREATED_STATUS:
            offset = _read_offset(response.body)
            outcome = 'appended' if offset >= 0 else 'unknown'
        elif (
            FIRST_ERROR_STATUS <= response.status < SERVER_ERROR_STATUS
            or response.status == UNAVAILABLE_STATUS
        ):
            outcome = 'refused'
        return AppendFinished(action.append_id, action.stream, outcome, offset)

    def fail_append(self, action: AppendRecord, failure: CallFailure) -> AppendFinished:
        """Return the outcome of a call without a response.

        :param action: the append.
        :param failure: the failure, including whether any byte was sent.
        """
        outcome = 'unknown' if failure.sent else 'refused'
        return AppendFinished(action.append_id, action.stream, outcome)

    def build_read(self, action: ReadRecords) -> HttpRequest:
        """Return the request that reads records.

        :param action: the stream, the first offset and the maximum number of records.
        """
        query = f'from={action.from_offset}&max={action.max_records}'
        return HttpRequest('GET', f'{_path(action.stream)}?{query}')

    def finish_read(self, action: ReadRecords, response: HttpResponse) -> RecordsRead:
        """Return the records in a response.

        :param action: the read.
        :param response: the complete response.
        """
        if response.status != OK_STATUS:
            return RecordsRead(action.stream, ok=False)
        try:
            document = _records_decoder.decode(response.body)
            records = tuple(
                LogRecord(record['offset'], b64decode(record['payload_base64']))
                for record in document['records']
            )
        except (msgspec.DecodeError, ValueError, RecursionError):
            return RecordsRead(action.stream, ok=False)
        return RecordsRead(
            stream=action.stream,
            ok=True,
            records=records,
            first_offset=document['first_offset'],
            end_offset=document['end_offset'],
        )


LOGS.register('http')(HttpLog())


def _path(stream: str) -> str:
    return f'/streams/{quote(stream, safe="")}/records'


def _read_offset(body: bytes) -> int:
    try:
        return _appended_decoder.decode(body)['offset']
    except (msgspec.DecodeError, RecursionError):
        return -1
