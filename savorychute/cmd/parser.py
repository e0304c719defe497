"""The argument parser, built from the registered commands."""

from __future__ import annotations

import argparse
import importlib
import pkgutil

import savorychute
import savorychute.cmd
from savorychute.cmd.command import COMMANDS

GROUP_SUMMARIES = {
    'contract': "show and amend organisations' contracts",
    'endpoint': 'add, drain, retire and list endpoints',
    'instance': 'list instances',
    'scenario': 'run scripted scenarios',
}


def load_commands() -> None:
    """Import every module beside this one, so that all commands register."""
    for found in pkgutil.iter_modules(savorychute.cmd.__path__, 'savorychute.cmd.'):
        importlib.import_module(found.name)


def build_parser() -> argparse.ArgumentParser:
    """Return a parser that knows every registered command."""
    parser = argparse.ArgumentParser(
        prog='savorychute',
        description='A router for language-model traffic with service levels.',
    )
    parser.add_argument(
        '--version', action='version', version=f'savorychute {savorychute.__version__}'
    )
    top = parser.add_subparsers(dest='command', metavar='command', required=True)
    groups: dict[str, argparse._SubParsersAction[argparse.ArgumentParser]] = {}
    for name in COMMANDS:
        group, _, verb = name.rpartition(' ')
        if group and group not in groups:
            summary = GROUP_SUMMARIES.get(group, group)
            middle = top.add_parser(group, help=summary, description=summary)
            groups[group] = middle.add_subparsers(metavar='verb', required=True)
        _add_command(groups[group] if group else top, name, verb)
    return parser


def _add_command(
    parsers: argparse._SubParsersAction[argparse.ArgumentParser], name: str, verb: str
) -> None:
    command = COMMANDS.get(name)()
    parser = parsers.add_parser(verb, help=command.summary, description=command.summary)
    command.add_arguments(parser)
    parser.set_defaults(run=command.run)
