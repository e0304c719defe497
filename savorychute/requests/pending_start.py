"""A start notice that waits for its witness."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_record import KeyRecord
    from savorychute.requests.start_notice import StartNotice


class PendingStart(NamedTuple):
    """The notice, where it goes, when to repeat it and when to give up."""

    record: KeyRecord
    notice: StartNotice
    witness: MemberAddress
    next_ms: int
    give_up_ms: int
