"""The reference of the scenario language, written from the code."""

from __future__ import annotations

import json
import textwrap
from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.util.rst_table import format_table, format_title

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.registry import Registry

LINE_COLUMNS = 80
INTRODUCTION = """\
A scenario is a file of JSON with comments.  ``savorychute scenario run <file>`` runs it
on a virtual clock, with stand-ins for endpoints and platform, in one process; the same
seed gives the same run.  A fault in the file is told with its line.  The exit code is 1
if anything that it expects does not hold.

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
    """Return the page."""
    # The stand-ins are loaded only here: no other page needs them.
    from savorychute.testing.faults import FAULTS, FaultStep
    from savorychute.testing.invariants import INVARIANTS
    from savorychute.testing.measures import ClassFigures, RunFigures
    from savorychute.testing.profiles import PROFILES
    from savorychute.testing.scenario import Expectation, LoadSpec, Scenario

    sections = (
        _describe_struct('The file', Scenario),
        _describe_struct('``load``', LoadSpec),
        _describe_struct('``at``', FaultStep),
        _describe_registry('Faults and commands', FAULTS),
        _describe_struct('``expect``', Expectation),
        _describe_registry('Promises', INVARIANTS),
        _list_names('Measures of a run', RunFigures._fields),
        _list_names('Measures of a class', ClassFigures._fields),
        _list_names('Systems', PROFILES),
    )
    return format_title('Scenarios') + INTRODUCTION + '\n'.join(sections)


def _describe_struct(title: str, struct: type[msgspec.Struct]) -> str:
    rows = [
        (f'``{field.encode_name}``', _show_default(field))
        for field in msgspec.structs.fields(struct)
    ]
    text = _take_paragraphs(struct)
    table = format_table(('field', 'default'), rows)
    return f'{format_title(title, "-")}{text}\n\n{table}'


def _describe_registry(title: str, registry: Registry[Any]) -> str:
    rows = [
        (f'``{name}``', _take_paragraphs(registry.get(name)).split('\n')[0])
        for name in registry
    ]
    return format_title(title, '-') + format_table(('name', 'meaning'), rows)


def _list_names(title: str, names: Iterable[str]) -> str:
    spelt = ', '.join(f'``{name}``' for name in names)
    wrapped = textwrap.fill(spelt, LINE_COLUMNS)
    return f'{format_title(title, "-")}{wrapped}\n'


def _take_paragraphs(described: Any) -> str:
    """Return an item's doc comment, without its indentation."""
    lines = (described.__doc__ or '').strip().split('\n')
    return '\n'.join(line.strip() for line in lines).replace('*', '``')


def _show_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    if field.default is msgspec.NODEFAULT:
        return 'empty'
    try:
        return f'``{json.dumps(field.default)}``'
    except TypeError:
        return 'its defaults'
