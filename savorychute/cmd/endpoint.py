"""The commands ``endpoint add``, ``drain``, ``retire`` and ``list``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd import operator_verbs
from savorychute.cmd.change_arguments import (
    add_change_arguments,
    read_change_arguments,
    read_document,
)
from savorychute.cmd.command import COMMANDS
from savorychute.cmd.operator_command import OperatorVerbCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

NEW_ENDPOINT_VERSION = 0


@COMMANDS.register('endpoint add')
class EndpointAdd(OperatorVerbCommand):
    """Add an endpoint, or replace its document."""

    summary = 'add an endpoint, or replace its document'
    verb = operator_verbs.ENDPOINT_ADD

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the file and the arguments common to all changes."""
        parser.add_argument('file', type=Path, help='the endpoint, JSON with comments')
        add_change_arguments(parser)

    def make_document(self, arguments: Namespace) -> Any:
        """Return the endpoint's document with the version that it replaces."""
        document = read_document(arguments.file)
        change = read_change_arguments(arguments)
        change.setdefault('base_version', NEW_ENDPOINT_VERSION)
        return {'document': document, **change}


class _EndpointChangeCommand(OperatorVerbCommand):
    """A command that changes an endpoint's state."""

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the endpoint and the arguments common to all changes."""
        parser.add_argument('endpoint', help="the endpoint's name")
        add_change_arguments(parser)

    def make_document(self, arguments: Namespace) -> Any:
        """Return the endpoint's name and the fields common to all changes."""
        return {'endpoint': arguments.endpoint, **read_change_arguments(arguments)}


@COMMANDS.register('endpoint drain')
class EndpointDrain(_EndpointChangeCommand):
    """Stop sending new requests to an endpoint."""

    summary = 'send no new requests to an endpoint; running ones finish'
    verb = operator_verbs.ENDPOINT_DRAIN


@COMMANDS.register('endpoint retire')
class EndpointRetire(_EndpointChangeCommand):
    """Remove a drained endpoint."""

    summary = 'remove an endpoint'
    verb = operator_verbs.ENDPOINT_RETIRE


@COMMANDS.register('endpoint list')
class EndpointList(OperatorVerbCommand):
    """Print the endpoints."""

    summary = 'print the endpoints and their state'
    verb = operator_verbs.ENDPOINT_LIST
