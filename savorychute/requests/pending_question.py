"""A query that waits for the response of a witness."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.requests.key_question import KeyQuestion


class PendingQuestion(NamedTuple):
    """A query, the waiting requests, the time of its next send and its deadline.

    ``issuer`` is the instance to which the requests are redirected if the key was
    started; None if it is unavailable.
    """

    question: KeyQuestion
    witness: MemberAddress
    issuer: MemberAddress | None
    request_ids: tuple[str, ...]
    next_send_ms: int
    deadline_ms: int
