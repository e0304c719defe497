"""The command ``call``."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.connection_arguments import (
    add_connection_arguments,
    read_instances,
    read_tls,
    read_token,
)
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document
from savorychute.ran import Ran

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.client import CallError, ChatCall, Client, ServiceCall

TOKEN_VARIABLE = 'SAVORYCHUTE_TOKEN'
DEFAULT_TIMEOUT_MS = 60_000
STANDARD_INPUT = '-'


@COMMANDS.register('call')
class Call:
    """Send one request, as a caller does."""

    summary = 'send a prompt to a model, or a call to a plain service'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request and its destination."""
        parser.add_argument('class_name', metavar='class', help='the request class')
        target = parser.add_mutually_exclusive_group(required=True)
        target.add_argument('--model', help='the model to ask')
        target.add_argument('--service', help='the plain service to call')
        parser.add_argument(
            'text',
            help='the prompt, or the body for a service; "-" reads standard input',
        )
        parser.add_argument(
            '--path', default='/', help='the path at the service (default /)'
        )
        parser.add_argument(
            '--method', default='POST', help='HTTP method at the service (default POST)'
        )
        parser.add_argument(
            '--max-tokens',
            type=int,
            default=0,
            metavar='N',
            help='maximum number of tokens in the response',
        )
        parser.add_argument(
            '--once', action='store_true', help='the request class is not idempotent'
        )
        add_connection_arguments(parser, TOKEN_VARIABLE, DEFAULT_TIMEOUT_MS)
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Print the response as it arrives."""
        # Imported here because no other command needs the client.
        from savorychute.client import CallError

        try:
            return asyncio.run(_send_request(arguments))
        except (OSError, ValueError) as error:
            print(f'savorychute: {error}', file=sys.stderr)
            return ExitCode.USAGE
        except CallError as error:
            return _report_error(error, arguments.json)


async def _send_request(arguments: Namespace) -> ExitCode:
    from savorychute.client import ClientSettings, open_client
    from savorychute.http.client_pool import ServerAddress

    seeds = read_instances(arguments)
    settings = ClientSettings(
        seeds=tuple(ServerAddress(*seed) for seed in seeds),
        token=read_token(arguments, TOKEN_VARIABLE),
    )
    async with open_client(settings, read_tls(arguments)) as client:
        if arguments.service:
            document = await _call_service(client, arguments)
        else:
            document = await _call_model(client, arguments)
    if arguments.json:
        print_document(document, True)
    return ExitCode.OK


async def _call_model(client: Client, arguments: Namespace) -> dict[str, Any]:
    texts: list[str] = []
    tokens = 0
    async for part in client.stream(_make_chat(arguments)):
        texts.append(part.text)
        tokens += part.token_count
        if not arguments.json:
            print(part.text, end='', flush=True)
    if not arguments.json:
        print()
    return {'text': ''.join(texts), 'tokens': tokens}


async def _call_service(client: Client, arguments: Namespace) -> dict[str, Any]:
    response = await client.call_service(_make_service_call(arguments))
    text = response.body.decode('utf-8', 'replace')
    if not arguments.json:
        print(text)
    return {
        'status': response.status,
        'body': text,
        'request_id': response.request_id,
        'endpoint': response.endpoint,
    }


def _make_chat(arguments: Namespace) -> ChatCall:
    from savorychute.client import ChatCall

    return ChatCall(
        model=arguments.model,
        messages=({'role': 'user', 'content': _read_text(arguments.text)},),
        class_name=arguments.class_name,
        max_tokens=arguments.max_tokens,
        idempotent=not arguments.once,
        timeout_ms=arguments.timeout_ms,
    )


def _make_service_call(arguments: Namespace) -> ServiceCall:
    from savorychute.client import ServiceCall

    return ServiceCall(
        service=arguments.service,
        method=arguments.method,
        path=arguments.path,
        class_name=arguments.class_name,
        body=_read_text(arguments.text).encode(),
        idempotent=not arguments.once,
        timeout_ms=arguments.timeout_ms,
    )


def _read_text(text: str) -> str:
    return sys.stdin.read() if text == STANDARD_INPUT else text


def _report_error(error: CallError, as_json: bool) -> ExitCode:
    """Print why there is no response, and whether the request ran."""
    if as_json:
        document = {
            'code': error.code.number,
            'ran': error.ran.value,
            'message': error.message,
            'request_id': error.request_id,
            'retry_after_ms': error.retry_after_ms,
        }
        print_document({'error': document}, True)
    print(f'error {error.code.number}: {error.message} ({error.ran})', file=sys.stderr)
    return ExitCode.REFUSED if error.ran is Ran.NOT_RUN else ExitCode.UNCONFIRMED
