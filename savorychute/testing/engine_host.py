"""A model engine of a virtual run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.inputs import (
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptStarted,
    LoadReported,
)
from savorychute.testing.endpoint_host import EndpointHost
from savorychute.testing.engine_events import (
    StreamAccepted,
    StreamBroken,
    StreamEnded,
    StreamRefused,
    StreamTokens,
)
from savorychute.testing.engine_request import EngineRequest
from savorychute.testing.engine_server import ChatBody, ContinueFrom
from savorychute.testing.markers import find_marker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import StartAttempt
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.testing.engine import ModelEngine
    from savorychute.testing.engine_events import EngineEvent
    from savorychute.testing.event_heap import EventHeap
    from savorychute.testing.ledger import Ledger

STATUS_OK = 200
STATUS_NOT_FOUND = 404

_body_decoder = msgspec.json.Decoder(ChatBody)


class EngineHost(EndpointHost):
    """Passes attempts to a :class:`ModelEngine` and its events back."""

    def __init__(
        self,
        heap: EventHeap,
        ledger: Ledger,
        document: EndpointDocument,
        engine: ModelEngine,
    ) -> None:
        super().__init__(heap, ledger, document, engine)
        self.engine = engine
        self._texts: dict[str, list[str]] = {}

    def take(self, start: StartAttempt) -> None:
        """Submit or resume a stream."""
        now_ms = self.heap.now_ms
        if start.resume_offset >= 0:
            self._pass(
                self.engine.resume(
                    start.stream_id, start.attempt_id, start.resume_offset, now_ms
                )
            )
            return
        body = _body_decoder.decode(start.body)
        going_on = body.continue_from or ContinueFrom(0, '')
        request = EngineRequest(
            attempt_id=start.attempt_id,
            stream_id=start.stream_id or start.attempt_id,
            model=start.model,
            prompt='\n'.join(message.content for message in body.messages),
            max_tokens=body.max_tokens,
            priority=start.priority,
            keep_on_close=start.stream and bool(start.stream_id),
            continue_offset=going_on.offset,
            continue_text=going_on.text,
        )
        self._pass(self.engine.submit(request, now_ms))

    def close(self, attempt_id: str) -> None:
        """Close an attempt's connection."""
        self.forget(attempt_id)
        self._pass(self.engine.close(attempt_id, self.heap.now_ms))
        self.arm()

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Cancel a stream unless another attempt has taken it over."""
        self.close(start.attempt_id)
        if not start.stream or not self.engine.is_up:
            return
        self._pass(self.engine.cancel(start.stream_id, keep, self.heap.now_ms))
        self.arm()

    def poll(self, cursor: int) -> LoadReported | None:
        """Return the lagging load report."""
        if not self.engine.is_up or self.engine.silent:
            return None
        load = self.engine.report(cursor, self.heap.now_ms)
        return LoadReported(self.name, *load)

    def crash(self) -> None:
        """Crash the engine."""
        self._pass(self.engine.crash(self.heap.now_ms))

    def set_silent(self, silent: bool) -> None:
        """Hang the engine, or let it go on."""
        self._pass(self.engine.set_silent(silent, self.heap.now_ms))
        self.arm()

    def straggle(self, factor: float) -> None:
        """Make the engine's steps longer."""
        self._pass(self.engine.set_straggle(factor, self.heap.now_ms))
        self.arm()

    def advance(self) -> None:
        """Bring the engine up to the present."""
        self._pass(self.engine.advance(self.heap.now_ms))

    def _pass(self, events: Sequence[EngineEvent]) -> None:
        for event in events:
            if isinstance(event, StreamTokens):
                self._pass_tokens(event)
            elif isinstance(event, StreamEnded):
                self._pass_end(event)
            elif isinstance(event, StreamAccepted):
                self._pass_start(event)
            elif isinstance(event, StreamRefused):
                self._pass_refusal(event)
            elif isinstance(event, StreamBroken):
                self._pass_break(event)

    def _pass_start(self, event: StreamAccepted) -> None:
        start = self.starts[event.attempt_id]
        if start.resume_offset < 0:
            self.note_execution(event.attempt_id, find_marker(start.body))
        if not start.stream:
            self._texts[event.attempt_id] = []
            return
        self.tell(
            event.attempt_id,
            AttemptStarted(
                event.attempt_id, STATUS_OK, 'text/event-stream', event.stream_id
            ),
        )

    def _pass_tokens(self, event: StreamTokens) -> None:
        texts = self._texts.get(event.attempt_id)
        if texts is not None:
            texts.append(event.text)
            return
        self.tell(
            event.attempt_id,
            AttemptChunk(
                event.attempt_id, event.offset, event.token_count, event.text.encode()
            ),
        )

    def _pass_end(self, event: StreamEnded) -> None:
        attempt_id = event.attempt_id
        total_tokens = event.total_tokens
        texts = self._texts.pop(attempt_id, None)
        if texts is not None:
            body = ''.join(texts).encode()
            self.tell(
                attempt_id,
                AttemptStarted(
                    attempt_id, STATUS_OK, 'application/json', event.stream_id
                ),
                AttemptChunk(attempt_id, 0, total_tokens, body),
            )
        self.tell(attempt_id, AttemptEnded(attempt_id, total_tokens))
        self.forget(attempt_id)

    def _pass_refusal(self, event: StreamRefused) -> None:
        refused = event.status != STATUS_NOT_FOUND
        if event.leaving:
            self.note_leaving()
        self._fail(event.attempt_id, refused, event.leaving, False, event.reason)

    def _pass_break(self, event: StreamBroken) -> None:
        self._texts.pop(event.attempt_id, None)
        self._fail(event.attempt_id, False, False, True, event.reason)

    def _fail(
        self, attempt_id: str, refused: bool, leaving: bool, crashed: bool, reason: str
    ) -> None:
        failed = AttemptFailed(attempt_id, True, refused, leaving, crashed, reason)
        self.tell(attempt_id, failed)
        self.forget(attempt_id)
