"""The interface of a command and the registry of commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class Command(Protocol):
    """A command; its class is registered under a name of one or two words."""

    summary: str

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments to *parser*."""
        ...

    def run(self, arguments: Namespace) -> int:
        """Run the command and return an :class:`ExitCode`."""
        ...


COMMANDS: Registry[type[Command]] = Registry('command')
