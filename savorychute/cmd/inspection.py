"""The read-only commands ``instance list``, ``status``, ``audit`` and ``explain``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd import operator_verbs
from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_command import OperatorVerbCommand
from savorychute.settings.network_address import NetworkAddress

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.cmd.operator_client import OperatorClient

# A request id ends with the incarnation and a number, after the instance name.
REQUEST_ID_SUFFIX_PARTS = 2


@COMMANDS.register('instance list')
class InstanceList(OperatorVerbCommand):
    """Print the instances."""

    summary = 'print the instances and their state, as known to one of them'
    verb = operator_verbs.INSTANCE_LIST


@COMMANDS.register('status')
class Status(OperatorVerbCommand):
    """Print the state of an instance."""

    summary = 'print the state of the instance that responds'
    verb = operator_verbs.STATUS


@COMMANDS.register('audit')
class Audit(OperatorVerbCommand):
    """Print the audit trail."""

    summary = 'print the audit trail of changes'
    verb = operator_verbs.AUDIT

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the filters."""
        parser.add_argument(
            '--item', help='only changes of this item, such as "contract:malanadu"'
        )
        parser.add_argument('--operator', help='only changes by this operator')
        parser.add_argument(
            '--since-offset',
            type=int,
            metavar='N',
            help='only changes from this offset on',
        )

    def make_document(self, arguments: Namespace) -> Any:
        """Return the filters that were specified."""
        filters = {
            'item': arguments.item,
            'operator': arguments.operator,
            'since_offset': arguments.since_offset,
        }
        return {name: value for name, value in filters.items() if value is not None}


@COMMANDS.register('explain')
class Explain(OperatorVerbCommand):
    """Print the history of a request, from an instance or from logs."""

    summary = 'print why a request was routed as it was, or refused'
    verb = operator_verbs.EXPLAIN

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the request id and the logs."""
        parser.add_argument('request_id', help='the request id from the response')
        parser.add_argument(
            'logs',
            type=Path,
            nargs='*',
            help='JSON-lines log files of any instances, read instead of asking an instance',
        )

    def run(self, arguments: Namespace) -> int:
        """Read the specified logs, or ask the instance."""
        if not arguments.logs:
            return super().run(arguments)
        # Imported here because only a few commands read logs.
        from savorychute.explain.log_reader import read_logs
        from savorychute.explain.request_history import describe_request

        sentences = describe_request(arguments.request_id, read_logs(arguments.logs))
        for sentence in sentences:
            print(sentence)
        return ExitCode.OK if sentences else ExitCode.REFUSED

    def make_document(self, arguments: Namespace) -> Any:
        """Return the request's id."""
        return {'request_id': arguments.request_id}

    def select_client(self, client: OperatorClient, document: Any) -> OperatorClient:
        """Return a client for the instance that handled the request.

        The request id starts with the name of that instance, and any instance knows
        the addresses of the others.  If that instance has left, the first instance
        is asked, which then responds that it does not know the request.
        """
        instance_name = document['request_id'].rsplit('-', REQUEST_ID_SUFFIX_PARTS)[0]
        response = client.call(operator_verbs.INSTANCE_LIST, {}).document
        for instance in response.get('instances', ()):
            if instance['instance'] == instance_name:
                address = NetworkAddress(instance['host'], instance['caller_port'])
                return client._replace(addresses=(address,))
        return client
