"""A start notice that waits for the response of the witness."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_record import KeyRecord
    from savorychute.requests.start_notice import StartNotice


class PendingStart(NamedTuple):
    """A start notice, its witness, the time of its next send and its deadline."""

    record: KeyRecord
    notice: StartNotice
    witness: MemberAddress
    next_send_ms: int
    deadline_ms: int
