"""The commands ``endpoint add``, ``drain``, ``retire`` and ``list``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd import operator_verbs
from savorychute.cmd.change_arguments import (
    add_change_arguments,
    read_document,
    take_change_arguments,
)
from savorychute.cmd.command import COMMANDS
from savorychute.cmd.operator_command import OperatorVerb

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

NEW_ENDPOINT_VERSION = 0


@COMMANDS.register('endpoint add')
class EndpointAdd(OperatorVerb):
    """Enter an endpoint, or replace what is known of it."""

    summary = 'enter an endpoint, or replace its document'
    verb = operator_verbs.ENDPOINT_ADD

    def add_own_arguments(self, parser: ArgumentParser) -> None:
        """Add the file and what every change has."""
        parser.add_argument('file', type=Path, help='the endpoint, JSON with comments')
        add_change_arguments(parser)

    def make_document(self, arguments: Namespace) -> Any:
        """Return the endpoint with the version that it replaces."""
        document = read_document(arguments.file)
        change = take_change_arguments(arguments)
        change.setdefault('base_version', NEW_ENDPOINT_VERSION)
        return {'document': document, **change}


class _EndpointChange(OperatorVerb):
    """A verb that changes an endpoint's state."""

    def add_own_arguments(self, parser: ArgumentParser) -> None:
        """Add the endpoint and what every change has."""
        parser.add_argument('endpoint', help="the endpoint's name")
        add_change_arguments(parser)

    def make_document(self, arguments: Namespace) -> Any:
        """Return the endpoint's name and the reason."""
        return {'endpoint': arguments.endpoint, **take_change_arguments(arguments)}


@COMMANDS.register('endpoint drain')
class EndpointDrain(_EndpointChange):
    """Send an endpoint nothing new."""

    summary = 'send an endpoint nothing new; what runs there finishes'
    verb = operator_verbs.ENDPOINT_DRAIN


@COMMANDS.register('endpoint retire')
class EndpointRetire(_EndpointChange):
    """Remove a drained endpoint."""

    summary = 'remove an endpoint'
    verb = operator_verbs.ENDPOINT_RETIRE


@COMMANDS.register('endpoint list')
class EndpointList(OperatorVerb):
    """Print the endpoints."""

    summary = 'print the endpoints and their state'
    verb = operator_verbs.ENDPOINT_LIST
