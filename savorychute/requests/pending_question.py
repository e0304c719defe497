"""A question that waits for its witness."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_question import KeyQuestion


class PendingQuestion(NamedTuple):
    """The question, who waits for it, when to repeat it and to give up.

    ``issuer`` is where they are sent if the key was started, unless it is gone.
    """

    question: KeyQuestion
    witness: MemberAddress
    issuer: MemberAddress | None
    request_ids: tuple[str, ...]
    next_ms: int
    give_up_ms: int
