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
    """Import every module of this package, which registers all commands."""
    for module in pkgutil.iter_modules(savorychute.cmd.__path__, 'savorychute.cmd.'):
        importlib.import_module(module.name)


def build_parser() -> argparse.ArgumentParser:
    """Return a parser for all registered commands."""
    parser = argparse.ArgumentParser(
        prog='savorychute',
        description='A router for language-model traffic with service levels.',
    )
    parser.add_argument(
        '--version', action='version', version=f'savorychute {savorychute.__version__}'
    )
    top_level = parser.add_subparsers(dest='command', metavar='command', required=True)
    groups: dict[str, argparse._SubParsersAction[argparse.ArgumentParser]] = {}
    for name in COMMANDS:
        group, _, verb = name.rpartition(' ')
        if group and group not in groups:
            summary = GROUP_SUMMARIES.get(group, group)
            group_parser = top_level.add_parser(
                group, help=summary, description=summary
            )
            groups[group] = group_parser.add_subparsers(metavar='verb', required=True)
        _add_command(groups[group] if group else top_level, name, verb)
    return parser


def _add_command(
    parsers: argparse._SubParsersAction[argparse.ArgumentParser], name: str, verb: str
) -> None:
    command = COMMANDS.get(name)()
    parser = parsers.add_parser(verb, help=command.summary, description=command.summary)
    command.add_arguments(parser)
    parser.set_defaults(run=command.run)
