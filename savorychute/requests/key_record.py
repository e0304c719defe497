"""What the deciding instance remembers of one key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.key_phase import FINAL_PHASES, KeyPhase

if TYPE_CHECKING:
    from savorychute.requests.request_key import RequestKey
    from savorychute.result_code import ResultCode


class KeyRecord:
    """One key that a request has taken up.

    :param key: the key.
    :param fingerprint: of the one request that the key stands for.
    :param runner: the request that may run under it.
    """

    __slots__ = (
        'code',
        'fingerprint',
        'key',
        'phase',
        'runner',
        'settled_ms',
        'waiting',
    )

    def __init__(self, key: RequestKey, fingerprint: str, runner: str) -> None:
        self.key = key
        self.fingerprint = fingerprint
        self.runner = runner
        self.phase = KeyPhase.HELD
        self.code: ResultCode | None = None
        self.waiting: tuple[str, ...] = ()
        self.settled_ms = 0

    @property
    def is_final(self) -> bool:
        """Whether the key is settled."""
        return self.phase in FINAL_PHASES
