"""One attempt of a request at one endpoint."""

from __future__ import annotations


class Attempt:
    """The state of an attempt in progress.

    :param attempt_id: unique across all instances.
    :param endpoint: the endpoint that runs it.
    :param stream_id: the id of its stream at the engine.
    :param offset: the offset of the first expected token.
    :param resumed: whether it resumes an existing stream.
    :param now_ms: the time at which it was granted.
    :param has_credit: whether a credit was acquired for it.
    """

    __slots__ = (
        'attempt_id',
        'content_type',
        'endpoint',
        'has_credit',
        'is_unresponsive',
        'last_progress_ms',
        'next_offset',
        'resumed',
        'sent',
        'started',
        'status',
        'stream_id',
        'tokens',
    )

    def __init__(
        self,
        attempt_id: str,
        endpoint: str,
        stream_id: str,
        offset: int,
        resumed: bool,
        now_ms: int,
        has_credit: bool = True,
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.stream_id = stream_id
        self.next_offset = offset
        self.resumed = resumed
        self.has_credit = has_credit
        self.last_progress_ms = now_ms
        self.sent = False
        self.is_unresponsive = False
        self.started = False
        self.status = 0
        self.content_type = ''
        self.tokens = 0
