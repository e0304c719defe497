"""One attempt of a call at one instance, as the client library makes it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from savorychute.requests.continuation_handle import decode_handle
from savorychute.result_code import ResultCode
from savorychute.testing.matrix import steps
from savorychute.testing.refusal import Refusal

if TYPE_CHECKING:
    from savorychute.actions import (
        FinishResponse,
        RefuseRequest,
        SendChunk,
        StartResponse,
    )
    from savorychute.testing.call import Call
    from savorychute.testing.environment import Environment
    from savorychute.testing.instance_host import InstanceHost


class CallAttemptOwner(Protocol):
    """The object that decides what follows an attempt."""

    @property
    def simulation(self) -> Environment:
        """The environment that all parts of the run share."""
        ...

    def answered(self, call: Call, call_attempt: CallAttempt) -> None:
        """Handle a complete answer."""
        ...

    def failed(self, call: Call, refusal: Refusal, call_attempt: CallAttempt) -> None:
        """Handle a refusal or an interrupted answer."""
        ...

    def attempt_broke(self, call: Call, call_attempt: CallAttempt) -> None:
        """Handle a broken connection."""
        ...


class CallAttempt:
    """Receives the response of one instance and reports the outcome to its owner.

    :param owner: decides what follows the attempt.
    :param call: the call.
    :param host: the instance that receives the request.
    :param request_id: the id of the request at that instance.
    """

    def __init__(
        self, owner: CallAttemptOwner, call: Call, host: InstanceHost, request_id: str
    ) -> None:
        self.call = call
        self.host = host
        self.request_id = request_id
        self.sent_ms = owner.simulation.heap.now_ms
        self.is_open = True
        self._owner = owner
        self._has_started = False
        self._streamed = call.call_class.stream and not call.call_class.service

    def started(self, response: StartResponse) -> None:
        """Handle the head of a response."""
        if not self.is_open:
            return
        if response.handle:
            self.call.handle = response.handle
        if not self._streamed:
            self.call.text = b''

    def received(self, chunk: SendChunk) -> None:
        """Handle a part of an answer."""
        if not self.is_open:
            return
        call = self.call
        now_ms = self._owner.simulation.heap.now_ms
        self._owner.simulation.reached(steps.STREAMING, call.call_id, self.host.name)
        if call.first_token_ms is None:
            call.first_token_ms = now_ms
        else:
            call.worst_gap_ms = max(call.worst_gap_ms, now_ms - call.last_token_ms)
        call.last_token_ms = now_ms
        if self._streamed:
            self._truncate_text(chunk)
        call.text += chunk.data
        self._has_started = True

    def finished(self, finish: FinishResponse) -> None:
        """Handle the end of a started response."""
        if not self.is_open:
            return
        self.is_open = False
        if finish.code is ResultCode.OK:
            self._owner.answered(self.call, self)
            return
        if finish.handle:
            self.call.handle = finish.handle
        interruption = Refusal(finish.code, finish.ran, is_interrupted=True)
        self._owner.failed(self.call, interruption, self)

    def refused(self, refuse: RefuseRequest) -> None:
        """Handle a refusal."""
        if not self.is_open:
            return
        self.is_open = False
        if refuse.handle:
            self.call.handle = refuse.handle
        refusal = Refusal(
            refuse.code, refuse.ran, refuse.retry_after_ms, refuse.location
        )
        self._owner.failed(self.call, refusal, self)

    def broken(self) -> None:
        """Handle a broken connection."""
        if self.is_open:
            self.is_open = False
            self._owner.attempt_broke(self.call, self)

    def leave(self) -> None:
        """Close the connection from the caller's side."""
        if self.is_open:
            self.is_open = False
            simulation = self._owner.simulation
            simulation.heap.call_later(
                simulation.network.settings.client_ms,
                self.host.caller_left,
                self.request_id,
            )

    def _truncate_text(self, chunk: SendChunk) -> None:
        """Cut the received text at the chunk's offset, so that no token is kept twice.

        A caller knows the offset of each event.  After a resume it continues at
        the start of the last event that it received.
        """
        call = self.call
        tokens = call.text.count(b' ')
        if chunk.offset < tokens and not self._has_started:
            kept = call.text.split(b' ')[1 : chunk.offset + 1]
            call.text = b''.join(b' ' + token for token in kept)
        elif chunk.offset != tokens:
            self._owner.simulation.record_violation(
                f'call {call.call_id}: chunk at {chunk.offset} after {tokens} tokens'
            )
        call.chunk_offset = chunk.offset


def build_continuation_body(call: Call) -> bytes:
    """Return the body with the text received so far, as the client library does."""
    if not call.handle or not call.chunk_offset:
        return call.body
    tokens = call.text.split(b' ')[1 : call.chunk_offset + 1]
    text = b''.join(b' ' + token for token in tokens).decode()
    document = msgspec.json.decode(call.body)
    document['continue_from'] = {'offset': call.chunk_offset, 'text': text}
    return msgspec.json.encode(document)


def build_continuation_handle(call: Call) -> str:
    """Return the handle that requests the rest of the answer."""
    if not call.handle:
        return ''
    handle = decode_handle(call.handle)
    return handle._replace(offset=call.chunk_offset).encode()
