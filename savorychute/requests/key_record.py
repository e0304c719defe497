"""The record of one key at the instance that decides it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.requests.key_phase import FINAL_PHASES, KeyPhase

if TYPE_CHECKING:
    from savorychute.requests.request_key import RequestKey
    from savorychute.result_code import ResultCode


class KeyRecord:
    """A key that was granted to a request.

    :param key: the key.
    :param fingerprint: the fingerprint of the only request that may use the key.
    :param runner: the id of the request that may run under the key.
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
