"""The exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that a command returns to the shell."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNCONFIRMED = 4
    INTERRUPTED = 130

    @property
    def meaning(self) -> str:
        """The description of the code in the reference."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.REFUSED: 'refused, or a check found faults',
    ExitCode.USAGE: 'the command line is invalid',
    ExitCode.UNREACHABLE: 'no instance answered; nothing was changed',
    ExitCode.UNCONFIRMED: 'sent, but it is not known whether it took effect',
    ExitCode.INTERRUPTED: 'interrupted from the keyboard',
}
