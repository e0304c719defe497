"""The common course of the operators' commands."""

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

    from savorychute.cmd.operator_client import OperatorAnswer, OperatorClient


class OperatorVerb:
    """A command that sends one verb to an instance and prints the answer.

    A subclass sets ``verb`` and ``summary`` and, where there are arguments,
    replaces :meth:`add_own_arguments` and :meth:`make_document`.
    """

    summary = ''
    verb = ''

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the verb's arguments and those of every operator's command."""
        self.add_own_arguments(parser)
        add_connection_arguments(parser, TOKEN_VARIABLE, DEFAULT_TIMEOUT_MS)
        add_output_arguments(parser)

    def add_own_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments of this verb alone."""

    def make_document(self, arguments: Namespace) -> Any:  # noqa: ARG002
        """Return the verb's document; :class:`ValueError` if it is wrong."""
        return {}

    def direct(self, client: OperatorClient, document: Any) -> OperatorClient:  # noqa: ARG002
        """Return the client for the instance that is to be asked."""
        return client

    def run(self, arguments: Namespace) -> int:
        """Send the command and print what came back."""
        try:
            client = make_client(arguments)
            document = self.make_document(arguments)
        except (OSError, ValueError) as error:
            print(f'savorychute: {error}', file=sys.stderr)
            return ExitCode.USAGE
        try:
            client = self.direct(client, document)
            answer = client.call(self.verb, document)
        except NotSentError as error:
            print(f'no instance reached: {error}', file=sys.stderr)
            return ExitCode.UNREACHABLE
        except NoReplyError as error:
            print(f'sent, but no answer: {error}', file=sys.stderr)
            return self.report_no_reply(document)
        return self.report(answer, arguments)

    def report_no_reply(self, document: Any) -> ExitCode:
        """Tell the operator what to do after a lost answer."""
        record_id = document.get('record_id')
        if record_id is None:
            return ExitCode.UNREACHABLE
        _print_hint(record_id)
        return ExitCode.UNCONFIRMED

    def report(self, answer: OperatorAnswer, arguments: Namespace) -> ExitCode:
        """Print the answer and choose the exit code."""
        if answer.code is ResultCode.OK:
            print_document(answer.document, arguments.json)
            return ExitCode.OK
        if arguments.json:
            print_document(answer.document, True)
        print(
            f'error {answer.code.number}: {answer.code.meaning}'
            f'{_find_message(answer.document)}',
            file=sys.stderr,
        )
        if answer.code is ResultCode.VERSION_CONFLICT and 'version' in answer.document:
            print(f'in force is version {answer.document["version"]}', file=sys.stderr)
        if answer.code is ResultCode.CHANGE_UNCONFIRMED:
            _print_hint(answer.document.get('record_id', ''))
            return ExitCode.UNCONFIRMED
        return ExitCode.REFUSED


def _print_hint(record_id: str) -> None:
    print(
        f'send it again with --record-id {record_id}: it takes effect once',
        file=sys.stderr,
    )


def _find_message(document: dict[str, Any]) -> str:
    """Return what an error document says, wherever the instance put it."""
    error = document.get('error', document)
    message = error.get('message') if isinstance(error, dict) else error
    return f' ({message})' if message else ''
