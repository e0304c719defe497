"""The exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a finished command tells its shell."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNCONFIRMED = 4
    INTERRUPTED = 130

    @property
    def meaning(self) -> str:
        """What the code says, for the reference."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.REFUSED: 'refused, or a check found faults',
    ExitCode.USAGE: 'the command line is wrong',
    ExitCode.UNREACHABLE: 'no instance answered; nothing was changed',
    ExitCode.UNCONFIRMED: 'sent, but whether it took effect is not known',
    ExitCode.INTERRUPTED: 'interrupted from the keyboard',
}
