"""One try of a call at one instance, as the client library makes it."""

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
    from savorychute.testing.instance_host import InstanceHost
    from savorychute.testing.surroundings import Surroundings


class TryOwner(Protocol):
    """Who decides what follows a try."""

    @property
    def world(self) -> Surroundings:
        """What all parts of the run share."""
        ...

    def answered(self, call: Call, call_try: CallTry) -> None:
        """Take a whole answer."""
        ...

    def failed(self, call: Call, refusal: Refusal, call_try: CallTry) -> None:
        """Take a refusal or a cut answer."""
        ...

    def try_broke(self, call: Call, call_try: CallTry) -> None:
        """Note that the connection broke."""
        ...


class CallTry:
    """Takes what one instance answers and tells its owner how it ended.

    :param callers: decides what follows.
    :param call: the call.
    :param host: the instance that is asked.
    :param request_id: the request's id at that instance.
    """

    def __init__(
        self, callers: TryOwner, call: Call, host: InstanceHost, request_id: str
    ) -> None:
        self.call = call
        self.host = host
        self.request_id = request_id
        self.sent_ms = callers.world.heap.now_ms
        self.is_open = True
        self._callers = callers
        self._begun = False
        self._streamed = call.call_class.stream and not call.call_class.service

    def started(self, response: StartResponse) -> None:
        """Take the head of an answer."""
        if not self.is_open:
            return
        if response.handle:
            self.call.handle = response.handle
        if not self._streamed:
            self.call.text = b''

    def received(self, chunk: SendChunk) -> None:
        """Take a part of an answer."""
        if not self.is_open:
            return
        call = self.call
        now_ms = self._callers.world.heap.now_ms
        self._callers.world.reached(steps.STREAMING, call.call_id, self.host.name)
        if call.first_token_ms is None:
            call.first_token_ms = now_ms
        else:
            call.worst_gap_ms = max(call.worst_gap_ms, now_ms - call.last_token_ms)
        call.last_token_ms = now_ms
        if self._streamed:
            self._splice(chunk)
        call.text += chunk.data
        self._begun = True

    def finished(self, finish: FinishResponse) -> None:
        """Take the end of an answer that was begun."""
        if not self.is_open:
            return
        self.is_open = False
        if finish.code is ResultCode.OK:
            self._callers.answered(self.call, self)
            return
        if finish.handle:
            self.call.handle = finish.handle
        cut = Refusal(finish.code, finish.ran, is_cut=True)
        self._callers.failed(self.call, cut, self)

    def refused(self, refuse: RefuseRequest) -> None:
        """Take a refusal."""
        if not self.is_open:
            return
        self.is_open = False
        if refuse.handle:
            self.call.handle = refuse.handle
        refusal = Refusal(
            refuse.code, refuse.ran, refuse.retry_after_ms, refuse.location
        )
        self._callers.failed(self.call, refusal, self)

    def broken(self) -> None:
        """Note that the connection broke."""
        if self.is_open:
            self.is_open = False
            self._callers.try_broke(self.call, self)

    def leave(self) -> None:
        """Close the connection from the caller's side."""
        if self.is_open:
            self.is_open = False
            world = self._callers.world
            world.heap.call_later(
                world.network.settings.client_ms, self.host.caller_left, self.request_id
            )

    def _splice(self, chunk: SendChunk) -> None:
        """Put a chunk where its offset says; the caller keeps no token twice.

        A caller knows where each event begins.  After a resume it goes on from
        the beginning of the last event that it had.
        """
        call = self.call
        tokens = call.text.count(b' ')
        if chunk.offset < tokens and not self._begun:
            kept = call.text.split(b' ')[1 : chunk.offset + 1]
            call.text = b''.join(b' ' + token for token in kept)
        elif chunk.offset != tokens:
            self._callers.world.note_breach(
                f'call {call.call_id}: chunk at {chunk.offset} after {tokens} tokens'
            )
        call.chunk_offset = chunk.offset


def continue_body(call: Call) -> bytes:
    """Return the body with the text that the caller has, as the library does."""
    if not call.handle or not call.chunk_offset:
        return call.body
    tokens = call.text.split(b' ')[1 : call.chunk_offset + 1]
    text = b''.join(b' ' + token for token in tokens).decode()
    document = msgspec.json.decode(call.body)
    document['continue_from'] = {'offset': call.chunk_offset, 'text': text}
    return msgspec.json.encode(document)


def continue_handle(call: Call) -> str:
    """Return the handle that asks for what the caller lacks."""
    if not call.handle:
        return ''
    handle = decode_handle(call.handle)
    return handle._replace(offset=call.chunk_offset).encode()
