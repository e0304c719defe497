"""The commands that only look: instances, status, audit, explain."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd import operator_verbs
from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_command import OperatorVerb
from savorychute.settings.network_address import NetworkAddress

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.cmd.operator_client import OperatorClient

# Incarnation and number follow the instance's name.
REQUEST_ID_PARTS = 2


@COMMANDS.register('instance list')
class InstanceList(OperatorVerb):
    """Print the instances."""

    summary = 'print the instances and their state, as one of them sees it'
    verb = operator_verbs.INSTANCE_LIST


@COMMANDS.register('status')
class Status(OperatorVerb):
    """Print the state of an instance."""

    summary = 'print the state of the instance that answers'
    verb = operator_verbs.STATUS


@COMMANDS.register('audit')
class Audit(OperatorVerb):
    """Print the audit trail."""

    summary = 'print the audit trail of changes'
    verb = operator_verbs.AUDIT

    def add_own_arguments(self, parser: ArgumentParser) -> None:
        """Add the filters."""
        parser.add_argument('--item', help='such as "contract:malanadu"')
        parser.add_argument('--operator', help="only this operator's changes")
        parser.add_argument(
            '--since-offset', type=int, metavar='N', help='only from this offset on'
        )

    def make_document(self, arguments: Namespace) -> Any:
        """Return the filters that were given."""
        filters = {
            'item': arguments.item,
            'operator': arguments.operator,
            'since_offset': arguments.since_offset,
        }
        return {name: value for name, value in filters.items() if value is not None}


@COMMANDS.register('explain')
class Explain(OperatorVerb):
    """Print the course of a request, from an instance or from logs."""

    summary = 'print why a request went where it went, or was refused'
    verb = operator_verbs.EXPLAIN

    def add_own_arguments(self, parser: ArgumentParser) -> None:
        """Add the request."""
        parser.add_argument('request_id', help='the id that the answer carried')
        parser.add_argument(
            'logs',
            type=Path,
            nargs='*',
            help='files of JSON lines of any instances; then none of them is asked',
        )

    def run(self, arguments: Namespace) -> int:
        """Read the logs that are named, or ask the instance."""
        if not arguments.logs:
            return super().run(arguments)
        # Imported late: no other command reads logs.
        from savorychute.explain.log_reader import read_logs
        from savorychute.explain.story import tell_story

        story = tell_story(arguments.request_id, read_logs(arguments.logs))
        for sentence in story:
            print(sentence)
        return ExitCode.OK if story else ExitCode.REFUSED

    def make_document(self, arguments: Namespace) -> Any:
        """Return the request's id."""
        return {'request_id': arguments.request_id}

    def direct(self, client: OperatorClient, document: Any) -> OperatorClient:
        """Ask the instance that had the request: its id begins with the name.

        Any instance knows where the others are.  If that one is gone the
        first is asked, which then says that it does not know the request.
        """
        owner = document['request_id'].rsplit('-', REQUEST_ID_PARTS)[0]
        listed = client.call(operator_verbs.INSTANCE_LIST, {}).document
        for entry in listed.get('instances', ()):
            if entry['instance'] == owner:
                address = NetworkAddress(entry['host'], entry['caller_port'])
                return client._replace(addresses=(address,))
        return client
