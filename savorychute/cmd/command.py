"""What a command of the command line is."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class Command(Protocol):
    """One command; its class is registered under one or two words."""

    summary: str

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments to *parser*."""
        ...

    def run(self, arguments: Namespace) -> int:
        """Carry the command out and return an :class:`ExitCode`."""
        ...


COMMANDS: Registry[type[Command]] = Registry('command')
