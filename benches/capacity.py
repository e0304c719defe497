"""Measure every role at several sizes and print the capacity tables.

``python -m benches.capacity`` prints them; with ``--write docs/CAPACITY.md``
they replace the marked blocks of the page.
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import re
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import benches.capacity_roles
from benches.capacity_roles.interpreter import measure_interpreter_bytes
from benches.capacity_roles.report import render_log, render_role, render_summary
from benches.capacity_roles.roles import ROLES

if TYPE_CHECKING:
    from benches.capacity_roles.role_sample import RoleSample

ROLE_SUFFIX = '_role'
PROCESSES = 4


def main() -> None:
    """Measure the roles, print their tables and update the page if wanted."""
    parser = argparse.ArgumentParser(prog='python -m benches.capacity')
    parser.add_argument('--write', type=Path, help='page whose blocks are replaced')
    parser.add_argument('--only', nargs='*', help='names of roles; default: all')
    parser.add_argument('--processes', type=int, default=PROCESSES)
    arguments = parser.parse_args()
    load_roles()
    blocks = measure_blocks(arguments.only, arguments.processes)
    for name, text in blocks.items():
        print(f'\n## {name}\n\n{text}')
    if arguments.write is not None:
        page = arguments.write.read_text()
        arguments.write.write_text(replace_blocks(page, blocks))


def load_roles() -> None:
    """Import the module of each role, which registers it."""
    package = benches.capacity_roles
    for module_info in pkgutil.iter_modules(package.__path__, f'{package.__name__}.'):
        if module_info.name.endswith(ROLE_SUFFIX):
            importlib.import_module(module_info.name)


def measure_blocks(only: list[str] | None, processes: int) -> dict[str, str]:
    """Return the blocks of the page by name.

    :param only: names of roles, or None for all.
    :param processes: number of roles that are measured at once.
    """
    names = [name for name in sorted(ROLES) if not only or name in only]
    with ProcessPoolExecutor(processes, initializer=load_roles) as executor:
        measured = dict(zip(names, executor.map(measure_role, names), strict=True))
    blocks = {name: render_role(ROLES[name], measured[name]) for name in names}
    summed = {name: samples for name, samples in measured.items() if ROLES[name].summed}
    blocks['summary'] = render_summary(summed, measure_interpreter_bytes())
    blocks['log'] = render_log(measured)
    return blocks


def measure_role(name: str) -> list[RoleSample]:
    """Return the samples of a role, one for each of its sizes.

    :param name: the name of the role.
    """
    role = ROLES[name]
    return [role.measure(size) for size in role.sizes]


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
