"""The reference page of the scenario language, generated from the code."""

from __future__ import annotations

import json
import textwrap
from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.util.rst_table import format_table, format_title

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.registry import Registry

MAX_LINE_COLUMNS = 80
INTRODUCTION = """\
A scenario is a file of JSON with comments.  ``savorychute scenario run <file>`` runs it
on a virtual clock, with stand-ins for endpoints and platform, in one process; the same
seed gives the same run.  A fault in the file is reported with its line.  The exit code
is 1 if an expectation of the scenario is not met.

.. code-block:: text

   {
     "name": "crash",
     "story": "An engine crashes while it answers.",
     "load": {"capacity_share": 0.5, "duration_ms": 10000},
     "at": [{"ms": 4000, "do": "endpoint-crashes", "for_ms": 2000}],
     "expect": [{"promise": "all"}, {"measure": "attainment", "at_least": 0.8}]
   }

"""


def write_scenario_page() -> str:
    """Return the reference page of the scenario language."""
    # Imported here because no other page needs the stand-ins.
    from savorychute.testing.faults import FAULTS, FaultStep
    from savorychute.testing.measures import ClassFigures, RunFigures
    from savorychute.testing.profiles import PROFILES
    from savorychute.testing.promises import PROMISES
    from savorychute.testing.scenario import Expectation, LoadSpec, Scenario

    sections = (
        _format_struct('The file', Scenario),
        _format_struct('``load``', LoadSpec),
        _format_struct('``at``', FaultStep),
        _format_registry('Faults and commands', FAULTS),
        _format_struct('``expect``', Expectation),
        _format_registry('Promises', PROMISES),
        _format_names('Measures of a run', RunFigures._fields),
        _format_names('Measures of a class', ClassFigures._fields),
        _format_names('Systems', PROFILES),
    )
    return format_title('Scenarios') + INTRODUCTION + '\n'.join(sections)


def _format_struct(title: str, struct: type[msgspec.Struct]) -> str:
    rows = [
        (f'``{field.encode_name}``', _format_default(field))
        for field in msgspec.structs.fields(struct)
    ]
    text = _get_docstring_text(struct)
    table = format_table(('field', 'default'), rows)
    return f'{format_title(title, "-")}{text}\n\n{table}'


def _format_registry(title: str, registry: Registry[Any]) -> str:
    rows = [
        (f'``{name}``', _get_docstring_text(registry.get(name)).split('\n')[0])
        for name in registry
    ]
    return format_title(title, '-') + format_table(('name', 'meaning'), rows)


def _format_names(title: str, names: Iterable[str]) -> str:
    names_text = ', '.join(f'``{name}``' for name in names)
    wrapped = textwrap.fill(names_text, MAX_LINE_COLUMNS)
    return f'{format_title(title, "-")}{wrapped}\n'


def _get_docstring_text(described: Any) -> str:
    """Return the docstring of an object without its indentation."""
    lines = (described.__doc__ or '').strip().split('\n')
    return '\n'.join(line.strip() for line in lines).replace('*', '``')


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    if field.default is msgspec.NODEFAULT:
        return 'empty'
    try:
        return f'``{json.dumps(field.default)}``'
    except TypeError:
        return 'its defaults'
