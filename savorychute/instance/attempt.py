"""One try of a request at one endpoint."""

from __future__ import annotations


class Attempt:
    """What an instance knows of an attempt in progress.

    :param attempt_id: unique over all instances.
    :param endpoint: where it runs.
    :param stream_id: the engine's name for its stream.
    :param offset: the first token that is expected.
    :param resumed: whether it takes up a stream that exists.
    :param now_ms: when it was granted.
    """

    __slots__ = (
        'attempt_id',
        'content_type',
        'endpoint',
        'is_silent',
        'next_offset',
        'progress_ms',
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
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.stream_id = stream_id
        self.next_offset = offset
        self.resumed = resumed
        self.progress_ms = now_ms
        self.sent = False
        self.is_silent = False
        self.started = False
        self.status = 0
        self.content_type = ''
        self.tokens = 0
