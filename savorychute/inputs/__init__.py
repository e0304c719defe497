"""The inputs that a host delivers to an instance."""

from __future__ import annotations

from savorychute.inputs.append_finished import AppendFinished
from savorychute.inputs.attempt_chunk import AttemptChunk
from savorychute.inputs.attempt_ended import AttemptEnded
from savorychute.inputs.attempt_failed import AttemptFailed
from savorychute.inputs.attempt_paused import AttemptPaused
from savorychute.inputs.attempt_sent import AttemptSent
from savorychute.inputs.attempt_started import AttemptStarted
from savorychute.inputs.caller_left import CallerLeft
from savorychute.inputs.caller_request import CallerRequest
from savorychute.inputs.listing_fetched import ListingFetched
from savorychute.inputs.load_reported import LoadReported
from savorychute.inputs.operator_command import OperatorCommand
from savorychute.inputs.order_finished import OrderFinished
from savorychute.inputs.peer_received import PeerReceived
from savorychute.inputs.records_read import RecordsRead
from savorychute.inputs.shutdown_requested import ShutdownRequested

Input = (
    AppendFinished
    | AttemptChunk
    | AttemptEnded
    | AttemptFailed
    | AttemptPaused
    | AttemptSent
    | AttemptStarted
    | CallerLeft
    | CallerRequest
    | ListingFetched
    | LoadReported
    | OperatorCommand
    | OrderFinished
    | PeerReceived
    | RecordsRead
    | ShutdownRequested
)
