"""Reading and validation of scenario files."""

from __future__ import annotations

import re
from importlib import resources
from typing import TYPE_CHECKING

import json5
import msgspec

from savorychute.errors import ScenarioError, UnknownVariantError
from savorychute.settings.line_index import index_lines
from savorychute.testing.faults import FAULTS
from savorychute.testing.invariants import INVARIANTS
from savorychute.testing.measures import ClassFigures, RunFigures
from savorychute.testing.profiles import PROFILES
from savorychute.testing.scenario import Scenario

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from savorychute.settings.line_index import LineIndex
    from savorychute.settings.line_index import Path as ValuePath
    from savorychute.testing.scenario import Expectation

ALL_INVARIANTS = 'all'
SUFFIX = '.jsonc'
BUNDLED = 'savorychute.testing.scenarios'
PATH_IN_MESSAGE = re.compile(r'`(\$[^`]*)`')
PATH_STEP = re.compile(r'\.(\w+)|\[(\d+)\]')


def read_scenario(path: Path) -> Scenario:
    """Return the scenario of a file.

    :raises ScenarioError: with file, line and error, one line for each error.
    """
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f'{path}: cannot be read: {error}') from error
    return parse_scenario(text, str(path))


def read_bundled(name: str) -> Scenario:
    """Return a scenario of the package.

    :raises ScenarioError: if there is no scenario of that name.
    """
    scenario_resource = resources.files(BUNDLED).joinpath(f'{name}{SUFFIX}')
    if not scenario_resource.is_file():
        known = ', '.join(list_bundled())
        raise ScenarioError(f'no scenario {name!r}; known: {known}')
    return parse_scenario(scenario_resource.read_text('utf-8'), name)


def list_bundled() -> list[str]:
    """Return the names of the scenarios of the package."""
    names = [entry.name for entry in resources.files(BUNDLED).iterdir()]
    return sorted(name.removesuffix(SUFFIX) for name in names if name.endswith(SUFFIX))


def parse_scenario(text: str, name: str) -> Scenario:
    """Return the scenario of a text.

    :param text: JSON with comments.
    :param name: the name of the file, for messages.
    :raises ScenarioError: with file, line and error, one line for each error.
    """
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise ScenarioError(f'{name}: {error}') from error
    index = index_lines(text)
    try:
        scenario = msgspec.convert(document, Scenario)
    except msgspec.ValidationError as error:
        line = _find_line(str(error), index)
        raise ScenarioError(f'{name}:{line}: {error}') from error
    errors = [
        f'{name}:{index.lines.get(path, 1)}: {text}'
        for path, text in _find_errors(scenario)
    ]
    if errors:
        raise ScenarioError('\n'.join(errors))
    return scenario


def _find_line(message: str, index: LineIndex) -> int:
    """Return the line of the value that a message refers to."""
    match = PATH_IN_MESSAGE.search(message)
    steps = PATH_STEP.findall(match.group(1)) if match else []
    path: ValuePath = tuple(name if name else int(number) for name, number in steps)
    while path and path not in index.lines:
        path = path[:-1]
    return index.lines.get(path, 1)


def _find_errors(scenario: Scenario) -> Iterator[tuple[ValuePath, str]]:
    for number, system in enumerate(scenario.systems):
        if system not in PROFILES:
            yield (
                ('systems', number),
                _describe_unknown('system', system, tuple(PROFILES)),
            )
    for number, step in enumerate(scenario.at):
        if step.do not in FAULTS:
            yield (
                ('at', number, 'do'),
                _describe_unknown('fault', step.do, tuple(FAULTS)),
            )
    for number, expectation in enumerate(scenario.expect):
        for error_text in _check_expectation(expectation):
            yield ('expect', number), error_text


def _check_expectation(expectation: Expectation) -> Iterator[str]:
    if bool(expectation.promise) == bool(expectation.measure):
        yield 'an expectation has either a promise or a measure'
    promise = expectation.promise
    if promise and promise != ALL_INVARIANTS and promise not in INVARIANTS:
        yield _describe_unknown('promise', promise, tuple(INVARIANTS))
    fields = ClassFigures._fields if expectation.class_name else RunFigures._fields
    if expectation.measure and expectation.measure not in fields:
        yield _describe_unknown('measure', expectation.measure, fields)
    if expectation.measure and expectation.at_least is expectation.at_most is None:
        yield 'a measure needs "at_least" or "at_most"'


def _describe_unknown(kind: str, name: str, known: tuple[str, ...]) -> str:
    return UnknownVariantError(kind, name, known).message
