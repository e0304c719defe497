"""A caller's request."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """A complete request.

    Exactly one of ``model`` and ``service`` is set.  ``prefix_hashes`` is a
    chain of hashes over the blocks of the prompt; each covers its block and all
    blocks before it.  ``key`` is the request key and ``handle`` the
    continuation handle, both as the caller sent them, or empty.
    """

    request_id: str
    token: str
    class_name: str
    model: str
    service: str
    method: str
    path: str
    body: bytes
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    key: str = ''
    handle: str = ''
