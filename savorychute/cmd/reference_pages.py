"""The pages of the reference that are written from the code."""

from __future__ import annotations

import argparse
import json
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.parser import load_commands
from savorychute.cmd.scenario_page import write_scenario_page
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.settings.table import GATEWAY_SETTINGS
from savorychute.log_fields import FIELDS
from savorychute.metric_table import BUCKETS_MS, METRICS
from savorychute.metrics import MAX_SERIES
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.settings.setting import REQUIRED
from savorychute.settings.table import SETTINGS
from savorychute.util.label_limiter import MAX_LABEL_VALUES
from savorychute.util.rst_table import format_table, format_title

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.settings.setting import Setting

NOTE = '.. Written by "savorychute docs"; change the code, not this page.\n\n'


def write_settings_page() -> str:
    """Return the reference of settings."""
    return (
        NOTE
        + format_title('Settings')
        + 'A file of settings is JSON with comments (JSON5).  ``savorychute check '
        '<file>`` lists all\nof its faults with file, line, value and what was '
        'expected.  The scope ``instance``\nmarks values that differ between '
        'instances; those of scope ``deployment`` must agree\neverywhere.  A '
        'change takes effect at the next start; the two TLS files alone are\nread '
        'again while an instance runs.\n\n' + _tabulate_settings(SETTINGS)
    )


def write_gateway_page() -> str:
    """Return the reference of a gateway's settings and metrics."""
    metrics = [
        (f'``savorychute_{row.name}``', row.kind, ', '.join(row.labels), row.doc)
        for row in GATEWAY_METRICS
    ]
    return (
        NOTE
        + format_title('Gateways: settings and metrics')
        + format_title('Settings', '-')
        + 'A file of JSON with comments (JSON5).  A change is followed while the '
        'gateway runs,\nbut for addresses, which change with the next start.\n\n'
        + _tabulate_settings(GATEWAY_SETTINGS)
        + '\n'
        + format_title('Metrics', '-')
        + 'Every series has the label ``instance`` besides.  ``tier`` is the rank of '
        'a request,\n0 for the most urgent: three times the tier of its route, plus that '
        'of the\norganisation.\n\n'
        + format_table(('metric', 'kind', 'labels', 'meaning'), metrics)
    )


def _tabulate_settings(settings: Sequence[Setting]) -> str:
    rows = [
        (
            f'``{row.name}``',
            _show_default(row.default),
            row.unit or '-',
            str(row.scope),
            row.kind,
            row.doc,
        )
        for row in settings
    ]
    head = ('setting', 'default', 'unit', 'scope', 'values', 'meaning')
    return format_table(head, rows)


def write_result_codes_page() -> str:
    """Return the table of result codes."""
    rows = [
        (
            str(code.number),
            f'``{code.name}``',
            str(int(code.status)),
            code.meaning,
        )
        for code in ResultCode
    ]
    return (
        NOTE
        + format_title('Result codes')
        + 'Every answer carries the number in the header ``x-result-code``; a '
        'refusal has it in\nits JSON body too, with ``ran``: one of '
        + ', '.join(f'``{ran.value}``' for ran in Ran)
        + '.\nNumbers are never reused.  1xxx: the request is at fault; 2xxx: the '
        'system refuses\nwork; 3xxx: the outcome of work; 4xxx: configuration; '
        '5xxx: settings and command\nline; 6xxx: between instances.\n\n'
        + format_table(('number', 'name', 'HTTP', 'meaning'), rows)
    )


def write_metrics_page() -> str:
    """Return the reference of metrics and log fields."""
    metrics = [
        (
            f'``savorychute_{row.name}``',
            row.kind,
            ', '.join(('instance', *row.labels)),
            row.doc,
        )
        for row in METRICS
    ]
    fields = [(f'``{name}``', meaning) for name, meaning in FIELDS.items()]
    return (
        NOTE
        + format_title('Metrics and logs')
        + format_title('Metrics', '-')
        + '``GET /metrics`` gives them in the format of Prometheus.  Durations are '
        'in\nmilliseconds.  The buckets of every histogram end at '
        + ', '.join(str(bound) for bound in BUCKETS_MS)
        + f' ms.\nA label takes at most {MAX_LABEL_VALUES} values and a metric at '
        f'most {MAX_SERIES} series; what is beyond\ncounts as ``other``.\n\n'
        + format_table(('metric', 'kind', 'labels', 'meaning'), metrics)
        + '\n'
        + format_title('Log fields', '-')
        + 'A line is one JSON object with ``timestamp``, ``message_type``, '
        '``level``, ``instance``\nand ``request_id``, and those of these fields '
        'that apply.  No other field is ever\nwritten.\n\n'
        + format_table(('field', 'meaning'), fields)
    )


def write_command_line_page() -> str:
    """Return the reference of commands and exit codes."""
    load_commands()
    codes = [(str(int(code)), code.meaning) for code in ExitCode]
    parts = [
        NOTE,
        format_title('Command line'),
        'Commands that ask an instance try the ones of ``--instances`` in order '
        'and send\ntheir command to the first that accepts a connection.  The '
        "operator's token comes\nfrom a file or the environment, never from the "
        'command line, where other users of\nthe host could read it.\n\n',
        format_title('Exit codes', '-'),
        format_table(('code', 'meaning'), codes),
        '\n',
    ]
    for name in COMMANDS:
        parts.append(_describe_command(name))
    return ''.join(parts).rstrip('\n') + '\n'


PAGES: dict[str, Callable[[], str]] = {
    'settings.rst': write_settings_page,
    'gateway.rst': write_gateway_page,
    'result-codes.rst': write_result_codes_page,
    'metrics.rst': write_metrics_page,
    'command-line.rst': write_command_line_page,
    'scenarios.rst': lambda: NOTE + write_scenario_page(),
}


def _describe_command(name: str) -> str:
    """Return a command's arguments.

    Not by ``format_help``: its layout differs between versions of Python, and
    the page must not.
    """
    command = COMMANDS.get(name)()
    parser = argparse.ArgumentParser(add_help=False)
    command.add_arguments(parser)
    rows = [
        (_spell_argument(action), 'yes' if action.required else '-', action.help or '-')
        for action in parser._actions
    ]
    text = format_title(f'``savorychute {name}``', '-') + f'{command.summary}\n\n'
    if rows:
        text += format_table(('argument', 'required', 'meaning'), rows) + '\n'
    return text


def _spell_argument(action: argparse.Action) -> str:
    if not action.option_strings:
        return f'``{action.dest}``'
    option = action.option_strings[-1]
    if action.nargs == 0:
        return f'``{option}``'
    value = action.metavar or action.dest.upper()
    return f'``{option} {value}``'


def _show_default(value: Any) -> str:
    if value is REQUIRED:
        return 'required'
    return f'``{json.dumps(value)}``'
