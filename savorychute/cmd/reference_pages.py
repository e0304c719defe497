"""The reference pages that are generated from the code."""

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

GENERATED_NOTICE = (
    '.. Written by "savorychute docs"; change the code, not this page.\n\n'
)


def write_settings_page() -> str:
    """Return the reference page of the settings."""
    return (
        GENERATED_NOTICE
        + format_title('Settings')
        + 'A settings file is JSON with comments (JSON5).  ``savorychute check '
        '<file>`` lists all\nits faults with file, line, value and what was '
        'expected.  The scope ``instance``\nmarks values that differ between '
        'instances; those of scope ``deployment`` must be the\nsame everywhere.  A '
        'change takes effect at the next start; only the two TLS files\nare '
        'reloaded while an instance runs.\n\n' + _make_settings_table(SETTINGS)
    )


def write_gateway_page() -> str:
    """Return the reference page of the gateway's settings and metrics."""
    metrics = [
        (f'``savorychute_{row.name}``', row.kind, ', '.join(row.labels), row.doc)
        for row in GATEWAY_METRICS
    ]
    return (
        GENERATED_NOTICE
        + format_title('Gateways: settings and metrics')
        + format_title('Settings', '-')
        + 'A file of JSON with comments (JSON5).  A change is applied while the '
        'gateway runs,\nexcept for addresses, which change at the next start.\n\n'
        + _make_settings_table(GATEWAY_SETTINGS)
        + '\n'
        + format_title('Metrics', '-')
        + 'Every series also has the label ``instance``.  ``tier`` is the rank of '
        'a request,\n0 for the most urgent: three times the tier of its route plus that '
        'of the\norganisation.\n\n'
        + format_table(('metric', 'kind', 'labels', 'meaning'), metrics)
    )


def _make_settings_table(settings: Sequence[Setting]) -> str:
    rows = [
        (
            f'``{row.name}``',
            _format_default(row.default),
            row.unit or '-',
            str(row.scope),
            row.kind,
            row.doc,
        )
        for row in settings
    ]
    header = ('setting', 'default', 'unit', 'scope', 'values', 'meaning')
    return format_table(header, rows)


def write_result_codes_page() -> str:
    """Return the reference page of the result codes."""
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
        GENERATED_NOTICE
        + format_title('Result codes')
        + 'Every response has the number in the header ``x-result-code``; a '
        'refusal also has it in\nits JSON body, with ``ran``: one of '
        + ', '.join(f'``{ran.value}``' for ran in Ran)
        + '.\nNumbers are never reused.  1xxx: the request is at fault; 2xxx: the '
        'system refuses\nwork; 3xxx: the outcome of work; 4xxx: configuration; '
        '5xxx: settings and command\nline; 6xxx: between instances.\n\n'
        + format_table(('number', 'name', 'HTTP', 'meaning'), rows)
    )


def write_metrics_page() -> str:
    """Return the reference page of metrics and log fields."""
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
        GENERATED_NOTICE
        + format_title('Metrics and logs')
        + format_title('Metrics', '-')
        + '``GET /metrics`` gives them in the format of Prometheus.  Durations are '
        'in\nmilliseconds.  The buckets of every histogram end at '
        + ', '.join(str(bound) for bound in BUCKETS_MS)
        + f' ms.\nA label has at most {MAX_LABEL_VALUES} values and a metric at '
        f'most {MAX_SERIES} series; further ones are\ncounted as ``other``.\n\n'
        + format_table(('metric', 'kind', 'labels', 'meaning'), metrics)
        + '\n'
        + format_title('Log fields', '-')
        + 'A line is one JSON object with ``timestamp``, ``message_type``, '
        '``level``, ``instance``\nand ``request_id``, and those of the fields below '
        'that apply.  No other field is\nwritten.\n\n'
        + format_table(('field', 'meaning'), fields)
    )


def write_command_line_page() -> str:
    """Return the reference page of commands and exit codes."""
    load_commands()
    codes = [(str(int(code)), code.meaning) for code in ExitCode]
    parts = [
        GENERATED_NOTICE,
        format_title('Command line'),
        'Commands that ask an instance try those of ``--instances`` in order '
        'and send\nthe request to the first that accepts a connection.  The '
        "operator's token comes\nfrom a file or the environment, never from the "
        'command line, where other users of\nthe host could read it.\n\n',
        format_title('Exit codes', '-'),
        format_table(('code', 'meaning'), codes),
        '\n',
    ]
    for name in COMMANDS:
        parts.append(_format_command(name))
    return ''.join(parts).rstrip('\n') + '\n'


PAGES: dict[str, Callable[[], str]] = {
    'settings.rst': write_settings_page,
    'gateway.rst': write_gateway_page,
    'result-codes.rst': write_result_codes_page,
    'metrics.rst': write_metrics_page,
    'command-line.rst': write_command_line_page,
    'scenarios.rst': lambda: GENERATED_NOTICE + write_scenario_page(),
}


def _format_command(name: str) -> str:
    """Return the section about a command.

    ``format_help`` is not used because its layout differs between versions of Python,
    and the page must not.
    """
    command = COMMANDS.get(name)()
    parser = argparse.ArgumentParser(add_help=False)
    command.add_arguments(parser)
    rows = [
        (
            _format_argument(action),
            'yes' if action.required else '-',
            action.help or '-',
        )
        for action in parser._actions
    ]
    text = format_title(f'``savorychute {name}``', '-') + f'{command.summary}\n\n'
    if rows:
        text += format_table(('argument', 'required', 'meaning'), rows) + '\n'
    return text


def _format_argument(action: argparse.Action) -> str:
    if not action.option_strings:
        return f'``{action.dest}``'
    option = action.option_strings[-1]
    if action.nargs == 0:
        return f'``{option}``'
    value = action.metavar or action.dest.upper()
    return f'``{option} {value}``'


def _format_default(value: Any) -> str:
    if value is REQUIRED:
        return 'required'
    return f'``{json.dumps(value)}``'
