"""Measure every role at several sizes and print the capacity tables.

``python -m benches.capacity`` prints them; with ``--write docs/CAPACITY.md``
they replace the marked blocks of the page.
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import re
from pathlib import Path
from typing import TYPE_CHECKING

import benches.capacity_roles
from benches.capacity_roles.interpreter import measure_interpreter_bytes
from benches.capacity_roles.report import render_log, render_role, render_summary
from benches.capacity_roles.roles import ROLES

if TYPE_CHECKING:
    from benches.capacity_roles.role_sample import RoleSample

ROLE_SUFFIX = '_role'


def main() -> None:
    """Measure and print, or write the page."""
    parser = argparse.ArgumentParser(prog='python -m benches.capacity')
    parser.add_argument('--write', type=Path, help='page whose blocks are replaced')
    parser.add_argument('--only', nargs='*', help='names of roles; default: all')
    arguments = parser.parse_args()
    load_roles()
    blocks = measure_blocks(arguments.only)
    for name, text in blocks.items():
        print(f'\n## {name}\n\n{text}')
    if arguments.write is not None:
        page = arguments.write.read_text()
        arguments.write.write_text(replace_blocks(page, blocks))


def load_roles() -> None:
    """Import each role's module, so that all are registered."""
    package = benches.capacity_roles
    for found in pkgutil.iter_modules(package.__path__, f'{package.__name__}.'):
        if found.name.endswith(ROLE_SUFFIX):
            importlib.import_module(found.name)


def measure_blocks(only: list[str] | None) -> dict[str, str]:
    """Return the page's blocks by name.

    :param only: names of roles, or None for all.
    """
    measured: dict[str, list[RoleSample]] = {}
    blocks: dict[str, str] = {}
    for name, role in sorted(ROLES.items()):
        if only and name not in only:
            continue
        measured[name] = [role.measure(size) for size in role.sizes]
        blocks[name] = render_role(role, measured[name])
        print(f'measured {name}', flush=True)
    blocks['summary'] = render_summary(measured, measure_interpreter_bytes())
    blocks['log'] = render_log(measured)
    return blocks


def replace_blocks(page: str, blocks: dict[str, str]) -> str:
    """Return the page with the marked blocks replaced.

    :param page: text with pairs of ``<!-- name -->`` and ``<!-- end -->``.
    :param blocks: the new text by name.
    """
    for name, text in blocks.items():
        pattern = rf'(<!-- {re.escape(name)} -->\n).*?(<!-- end -->)'
        page = re.sub(
            pattern,
            lambda match, text=text: f'{match[1]}{text}\n{match[2]}',
            page,
            flags=re.DOTALL,
        )
    return page


if __name__ == '__main__':
    main()
