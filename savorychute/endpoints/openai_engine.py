"""Model engines with the OpenAI-style protocol and extensions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NotRequired, TypedDict
from urllib.parse import quote

import msgspec

from savorychute.endpoints.chat_documents import LoadDocument, OrderDocument
from savorychute.endpoints.dialect import DIALECTS
from savorychute.endpoints.document_reader import DocumentReader
from savorychute.endpoints.stream_reader import StreamReader
from savorychute.http.http_request import HttpRequest
from savorychute.inputs import LoadReported, OrderFinished

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import PollEndpoint, SendOrder, StartAttempt
    from savorychute.endpoints.dialect import ResponseReader

JSON_HEADER = ('content-type', 'application/json')
OK_STATUS = 200
CONFLICT_STATUS = 409
FIRST_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500

_load_decoder = msgspec.json.Decoder(LoadDocument)
_order_decoder = msgspec.json.Decoder(OrderDocument)
_body_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ResumeBody(TypedDict):
    """The position from which a stream is resumed, and whether only if interrupted."""

    offset: int
    only_if_interrupted: NotRequired[bool]


class CancelBody(TypedDict):
    """Whether the engine keeps the stream for a later resume."""

    keep: bool


class OrderBody(TypedDict):
    """An order to an engine."""

    verb: str
    target: str
    fencing: int
    expected_state: str


class OpenAiEngine:
    """Sends attempts as chat completions, and resumes and cancels their streams."""

    def build_attempt(
        self,
        start: StartAttempt,
        passed_headers: Sequence[tuple[str, str]],  # noqa: ARG002
    ) -> HttpRequest:
        """Return the request for a chat completion, or for resuming its stream.

        :param start: the attempt.
        :param passed_headers: not used, because the instance writes the body itself.
        """
        headers = [
            JSON_HEADER,
            ('x-attempt-id', start.attempt_id),
            ('x-stream-id', start.stream_id),
            ('x-timeout-ms', str(start.timeout_ms)),
        ]
        if start.stream and start.stream_id:
            headers.append(('x-keep-on-close', '1'))
        if start.resume_offset >= 0:
            return HttpRequest(
                'POST',
                _stream_path(start.stream_id, 'resume'),
                tuple(headers),
                msgspec.json.encode(_make_resume_body(start)),
            )
        return HttpRequest(
            'POST', '/v1/chat/completions', tuple(headers), _write_body(start)
        )

    def make_reader(self, start: StartAttempt) -> ResponseReader:
        """Return a reader of a stream of events, or of one document.

        :param start: the attempt.
        """
        if start.stream:
            return StreamReader(start)
        return DocumentReader(start)

    def needs_fresh_connection(self, start: StartAttempt) -> bool:  # noqa: ARG002
        """Return False: a lost attempt can be looked up by its stream id."""
        return False

    def build_cancel(self, start: StartAttempt, keep: bool) -> HttpRequest | None:
        """Return the request that cancels a stream.

        Closing the connection is not enough, because the engine then keeps the stream.

        :param start: the attempt.
        :param keep: whether the stream may be resumed later.
        """
        if not start.stream or not start.stream_id:
            return None
        return HttpRequest(
            'POST',
            _stream_path(start.stream_id, 'cancel'),
            (JSON_HEADER, ('x-attempt-id', start.attempt_id)),
            msgspec.json.encode(CancelBody(keep=keep)),
        )

    def build_poll(self, poll: PollEndpoint) -> HttpRequest | None:
        """Return the request for load and cache events.

        :param poll: contains the position of the last cache event that was read.
        """
        return HttpRequest('GET', f'/v1/load?cursor={poll.cache_cursor}')

    def read_load(self, endpoint: str, body: bytes) -> LoadReported | None:
        """Return the load report, or None if it is malformed.

        :param endpoint: the reporting endpoint.
        :param body: the JSON document.
        """
        try:
            document = _load_decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            return None
        return LoadReported(
            endpoint=endpoint,
            age_ms=document['age_ms'],
            running=document['running'],
            waiting=document['waiting'],
            kv_free_share=document['kv_free_share'],
            step_ms=document['step_ms'],
            models=tuple(document['models']),
            state=document['state'],
            cache_sequence=document['cache_sequence'],
            cached=tuple(document.get('cached', ())),
            evicted=tuple(document.get('evicted', ())),
            cache_gap=document.get('cache_gap', False),
        )

    def build_order(self, order: SendOrder) -> HttpRequest | None:
        """Return the request that sends an order.

        :param order: the order, including its fencing number.
        """
        body = OrderBody(
            verb=order.verb,
            target=order.target,
            fencing=order.fencing,
            expected_state=order.expected_state,
        )
        return HttpRequest(
            'POST', '/v1/orders', (JSON_HEADER,), msgspec.json.encode(body)
        )

    def read_order(self, order: SendOrder, status: int, body: bytes) -> OrderFinished:
        """Return the outcome of an order.

        :param order: the order that was sent.
        :param status: the response's status.
        :param body: the response's document.
        """
        outcome = 'unknown'
        if status == OK_STATUS:
            outcome = 'done'
        elif status == CONFLICT_STATUS:
            outcome = _read_conflict(body)
        elif FIRST_ERROR_STATUS <= status < SERVER_ERROR_STATUS:
            outcome = 'refused'
        return OrderFinished(order.order_id, order.endpoint, outcome)


DIALECTS.register('openai-engine')(OpenAiEngine())


def _stream_path(stream_id: str, verb: str) -> str:
    return f'/v1/streams/{quote(stream_id, safe="")}/{verb}'


def _make_resume_body(start: StartAttempt) -> ResumeBody:
    body = ResumeBody(offset=start.resume_offset)
    if start.only_if_interrupted:
        body['only_if_interrupted'] = True
    return body


def _write_body(start: StartAttempt) -> bytes:
    """Return the caller's document with the fields that the instance sets."""
    fields = _body_decoder.decode(start.body)
    fields['model'] = msgspec.Raw(msgspec.json.encode(start.model))
    fields['priority'] = msgspec.Raw(msgspec.json.encode(start.priority))
    fields['stream'] = msgspec.Raw(msgspec.json.encode(start.stream))
    return msgspec.json.encode(fields)


def _read_conflict(body: bytes) -> str:
    try:
        outcome = _order_decoder.decode(body)['outcome']
    except (msgspec.DecodeError, RecursionError):
        return 'refused'
    return 'fenced' if outcome == 'fenced' else 'refused'
