"""The actions that an instance requests from its host."""

from __future__ import annotations

from savorychute.actions.append_record import AppendRecord
from savorychute.actions.cancel_attempt import CancelAttempt
from savorychute.actions.fetch_listing import FetchListing
from savorychute.actions.finish_response import FinishResponse
from savorychute.actions.operator_reply import OperatorReply
from savorychute.actions.poll_endpoint import PollEndpoint
from savorychute.actions.read_records import ReadRecords
from savorychute.actions.refuse_request import RefuseRequest
from savorychute.actions.send_chunk import SendChunk
from savorychute.actions.send_order import SendOrder
from savorychute.actions.send_peer import SendPeer
from savorychute.actions.start_attempt import StartAttempt
from savorychute.actions.start_response import StartResponse

Action = (
    AppendRecord
    | CancelAttempt
    | FetchListing
    | FinishResponse
    | OperatorReply
    | PollEndpoint
    | ReadRecords
    | RefuseRequest
    | SendChunk
    | SendOrder
    | SendPeer
    | StartAttempt
    | StartResponse
)
