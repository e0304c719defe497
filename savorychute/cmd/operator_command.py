"""The base class of the operator commands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from savorychute.cmd.connection_arguments import add_connection_arguments
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.operator_client import (
    DEFAULT_TIMEOUT_MS,
    TOKEN_VARIABLE,
    NoReplyError,
    NotSentError,
    make_client,
)
from savorychute.cmd.output import add_output_arguments, print_document
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.cmd.operator_client import OperatorClient, OperatorResponse


class OperatorVerbCommand:
    """A command that sends one verb to an instance and prints the response.

    A subclass sets ``verb`` and ``summary`` and, if the verb has arguments,
    overrides :meth:`add_verb_arguments` and :meth:`make_document`.
    """

    summary = ''
    verb = ''

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the verb's arguments and those common to all operator commands."""
        self.add_verb_arguments(parser)
        add_connection_arguments(parser, TOKEN_VARIABLE, DEFAULT_TIMEOUT_MS)
        add_output_arguments(parser)

    def add_verb_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments specific to this verb."""

    def make_document(self, arguments: Namespace) -> Any:  # noqa: ARG002
        """Return the verb's document; raise :class:`ValueError` if it is invalid."""
        return {}

    def select_client(self, client: OperatorClient, document: Any) -> OperatorClient:  # noqa: ARG002
        """Return a client for the instance that should handle the command."""
        return client

    def run(self, arguments: Namespace) -> int:
        """Send the command and print the response."""
        try:
            client = make_client(arguments)
            document = self.make_document(arguments)
        except (OSError, ValueError) as error:
            print(f'savorychute: {error}', file=sys.stderr)
            return ExitCode.USAGE
        try:
            client = self.select_client(client, document)
            response = client.call(self.verb, document)
        except NotSentError as error:
            print(f'no instance reached: {error}', file=sys.stderr)
            return ExitCode.UNREACHABLE
        except NoReplyError as error:
            print(f'sent, but no response: {error}', file=sys.stderr)
            return self.report_no_response(document)
        return self.report_response(response, arguments)

    def report_no_response(self, document: Any) -> ExitCode:
        """Print what the operator can do after a lost response."""
        record_id = document.get('record_id')
        if record_id is None:
            return ExitCode.UNREACHABLE
        _print_hint(record_id)
        return ExitCode.UNCONFIRMED

    def report_response(
        self, response: OperatorResponse, arguments: Namespace
    ) -> ExitCode:
        """Print the response and return the exit code."""
        if response.code is ResultCode.OK:
            print_document(response.document, arguments.json)
            return ExitCode.OK
        if arguments.json:
            print_document(response.document, True)
        print(
            f'error {response.code.number}: {response.code.meaning}'
            f'{_format_error_message(response.document)}',
            file=sys.stderr,
        )
        if (
            response.code is ResultCode.VERSION_CONFLICT
            and 'version' in response.document
        ):
            print(f'version in force: {response.document["version"]}', file=sys.stderr)
        if response.code is ResultCode.CHANGE_UNCONFIRMED:
            _print_hint(response.document.get('record_id', ''))
            return ExitCode.UNCONFIRMED
        return ExitCode.REFUSED


def _print_hint(record_id: str) -> None:
    print(
        f'send it again with --record-id {record_id}: it takes effect once',
        file=sys.stderr,
    )


def _format_error_message(document: dict[str, Any]) -> str:
    """Return the message of an error document, in parentheses.

    The document is the error itself or has it under the key ``error``.
    """
    error = document.get('error', document)
    message = error.get('message') if isinstance(error, dict) else error
    return f' ({message})' if message else ''
