"""The commands ``contract show``, ``contract amend`` and ``contract history``."""

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


class _OrganisationCommand(OperatorVerbCommand):
    """A command whose only argument is an organisation."""

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the organisation."""
        parser.add_argument('organisation', help="the organisation's name")

    def make_document(self, arguments: Namespace) -> Any:
        """Return the organisation's name."""
        return {'organisation': arguments.organisation}


@COMMANDS.register('contract show')
class ContractShow(_OrganisationCommand):
    """Print a contract and its version."""

    summary = "print an organisation's contract and its version"
    verb = operator_verbs.CONTRACT_SHOW


@COMMANDS.register('contract history')
class ContractHistory(_OrganisationCommand):
    """Print a contract's changes."""

    summary = "print the changes of an organisation's contract"
    verb = operator_verbs.CONTRACT_HISTORY


@COMMANDS.register('contract amend')
class ContractAmend(OperatorVerbCommand):
    """Replace a contract."""

    summary = "replace an organisation's contract, or create it"
    verb = operator_verbs.CONTRACT_AMEND

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the file and the arguments common to all changes."""
        parser.add_argument('file', type=Path, help='the contract, JSON with comments')
        add_change_arguments(parser)

    def make_document(self, arguments: Namespace) -> Any:
        """Return the contract's document with the version that it replaces."""
        document = read_document(arguments.file)
        if arguments.base_version is None:
            raise ValueError(
                'contract amend needs --base-version; "contract show" prints it, '
                '0 creates a contract'
            )
        organisation = document.get('organisation')
        if not isinstance(organisation, str):
            raise ValueError(f'{arguments.file}: expected a string "organisation"')
        change = read_change_arguments(arguments)
        return {'organisation': organisation, 'document': document, **change}
