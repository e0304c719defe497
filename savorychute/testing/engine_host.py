"""A simulated model engine."""

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
    """Passes attempts to a :class:`ModelEngine` and returns its events."""

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

    def start_attempt(self, start: StartAttempt) -> None:
        """Submit or resume a stream."""
        now_ms = self.heap.now_ms
        if start.resume_offset >= 0:
            self._handle_events(
                self.engine.resume(
                    start.stream_id,
                    start.attempt_id,
                    start.resume_offset,
                    now_ms,
                    start.only_if_interrupted,
                )
            )
            return
        body = _body_decoder.decode(start.body)
        continuation = body.continue_from or ContinueFrom(0, '')
        request = EngineRequest(
            attempt_id=start.attempt_id,
            stream_id=start.stream_id or start.attempt_id,
            model=start.model,
            prompt='\n'.join(message.content for message in body.messages),
            max_tokens=body.max_tokens,
            priority=start.priority,
            keep_on_close=start.stream and bool(start.stream_id),
            continue_offset=continuation.offset,
            continue_text=continuation.text,
        )
        self._handle_events(self.engine.submit(request, now_ms))

    def close(self, attempt_id: str) -> None:
        """Close the connection of an attempt."""
        self.discard_attempt(attempt_id)
        self._handle_events(self.engine.close(attempt_id, self.heap.now_ms))
        self.schedule_wake()

    def cancel(self, start: StartAttempt, keep: bool) -> None:
        """Cancel a stream unless another attempt has taken it over."""
        self.close(start.attempt_id)
        if not start.stream or not self.engine.is_up:
            return
        self._handle_events(self.engine.cancel(start.stream_id, keep, self.heap.now_ms))
        self.schedule_wake()

    def poll(self, cursor: int) -> LoadReported | None:
        """Return the delayed load report."""
        if not self.engine.is_up or self.engine.unresponsive:
            return None
        load = self.engine.report(cursor, self.heap.now_ms)
        return LoadReported(self.name, *load)

    def crash(self) -> None:
        """Crash the engine."""
        self._handle_events(self.engine.crash(self.heap.now_ms))

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Make the engine unresponsive, or let it continue."""
        self._handle_events(
            self.engine.set_unresponsive(unresponsive, self.heap.now_ms)
        )
        self.schedule_wake()

    def set_slowdown(self, factor: float) -> None:
        """Multiply the duration of the steps of the engine by *factor*."""
        self._handle_events(self.engine.set_slowdown(factor, self.heap.now_ms))
        self.schedule_wake()

    def advance(self) -> None:
        """Advance the engine to the current time."""
        self._handle_events(self.engine.advance(self.heap.now_ms))

    def _handle_events(self, events: Sequence[EngineEvent]) -> None:
        for event in events:
            if isinstance(event, StreamTokens):
                self._handle_tokens(event)
            elif isinstance(event, StreamEnded):
                self._handle_end(event)
            elif isinstance(event, StreamAccepted):
                self._handle_start(event)
            elif isinstance(event, StreamRefused):
                self._handle_refusal(event)
            elif isinstance(event, StreamBroken):
                self._handle_break(event)

    def _handle_start(self, event: StreamAccepted) -> None:
        start = self.starts[event.attempt_id]
        if start.resume_offset < 0:
            self.record_execution(event.attempt_id, find_marker(start.body))
        if not start.stream:
            self._texts[event.attempt_id] = []
            return
        self.notify(
            event.attempt_id,
            AttemptStarted(
                event.attempt_id, STATUS_OK, 'text/event-stream', event.stream_id
            ),
        )

    def _handle_tokens(self, event: StreamTokens) -> None:
        texts = self._texts.get(event.attempt_id)
        if texts is not None:
            texts.append(event.text)
            return
        self.notify(
            event.attempt_id,
            AttemptChunk(
                event.attempt_id, event.offset, event.token_count, event.text.encode()
            ),
        )

    def _handle_end(self, event: StreamEnded) -> None:
        attempt_id = event.attempt_id
        total_tokens = event.total_tokens
        texts = self._texts.pop(attempt_id, None)
        if texts is not None:
            body = ''.join(texts).encode()
            self.notify(
                attempt_id,
                AttemptStarted(
                    attempt_id, STATUS_OK, 'application/json', event.stream_id
                ),
                AttemptChunk(attempt_id, 0, total_tokens, body),
            )
        self.notify(attempt_id, AttemptEnded(attempt_id, total_tokens))
        self.discard_attempt(attempt_id)

    def _handle_refusal(self, event: StreamRefused) -> None:
        refused = event.status != STATUS_NOT_FOUND
        if event.leaving:
            self.record_leaving()
        self._fail(
            event.attempt_id, refused, event.leaving, False, event.reason, event.paused
        )

    def _handle_break(self, event: StreamBroken) -> None:
        self._texts.pop(event.attempt_id, None)
        self._fail(event.attempt_id, False, False, True, event.reason)

    def _fail(
        self,
        attempt_id: str,
        refused: bool,
        leaving: bool,
        crashed: bool,
        reason: str,
        paused: bool = False,
    ) -> None:
        failed = AttemptFailed(
            attempt_id, True, refused, leaving, crashed, reason, paused
        )
        self.notify(attempt_id, failed)
        self.discard_attempt(attempt_id)
