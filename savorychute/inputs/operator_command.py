"""An operator's command."""

from __future__ import annotations

from typing import NamedTuple


class OperatorCommand(NamedTuple):
    """A command with its JSON arguments.

    ``token`` is checked against the operators' token hashes in the settings.
    """

    command_id: str
    token: str
    verb: str
    arguments: bytes
