"""Reading of a settings file, with all of its faults reported at once."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Any

import json5

from savorychute.errors import SettingsError
from savorychute.settings.line_index import LineIndex, index_lines
from savorychute.settings.rules import RULES
from savorychute.settings.schema import SettingsSchema, T
from savorychute.settings.setting import REQUIRED, Setting
from savorychute.settings.settings import Settings
from savorychute.settings.table import SETTINGS

MAX_SHOWN_CHARACTERS = 60
SECRET_SETTINGS = ('peer_keys', 'operator_token_hashes')
INSTANCE_SCHEMA = SettingsSchema(SETTINGS, RULES, Settings)


def read_settings(path: Path | str) -> Settings:
    """Return the settings of an instance's file.

    :param path: a JSON file with comments.
    :raises SettingsError: with every fault, each with the file, the line, the value
        and the expected value.
    """
    return read_schema(path, INSTANCE_SCHEMA)


def read_schema(path: Path | str, schema: SettingsSchema[T]) -> T:
    """Return the settings of a file that follows *schema*.

    :param path: a JSON file with comments.
    :param schema: the settings that the file may contain.
    :raises SettingsError: with every fault.
    """
    try:
        text = Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: cannot be read: {error}']) from error
    return parse_schema(text, str(path), schema)


def parse_settings(text: str, name: str = '<settings>') -> Settings:
    """Return the settings in a text.

    :param text: JSON with comments.
    :param name: the name of the file, for messages.
    :raises SettingsError: with every fault.
    """
    return parse_schema(text, name, INSTANCE_SCHEMA)


def parse_schema(text: str, name: str, schema: SettingsSchema[T]) -> T:
    """Return the settings in a text that follows *schema*.

    :param text: JSON with comments.
    :param name: the name of the file, for messages.
    :param schema: the settings that the text may contain.
    :raises SettingsError: with every fault.
    """
    document = _parse_document(text, name)
    return _build(document, name, index_lines(text), schema)


def build_settings(
    document: dict[str, Any], name: str = '<settings>', index: LineIndex | None = None
) -> Settings:
    """Return the settings of a parsed document.

    :param document: the values by the names of their settings.
    :param name: the name of the file, for messages.
    :param index: the line numbers of the values, if the document comes from a text.
    :raises SettingsError: with every fault.
    """
    return _build(document, name, index or LineIndex({}, ()), INSTANCE_SCHEMA)


def _build(
    document: dict[str, Any], name: str, index: LineIndex, schema: SettingsSchema[T]
) -> T:
    faults = _find_invalid_keys(document, name, index, schema)
    values: dict[str, Any] = {}
    for setting in schema.settings:
        try:
            values[setting.name] = _read_value(setting, document)
        except ValueError as error:
            location = f'{name}:{index.lines.get((setting.name,), 1)}'
            faults.append(
                f'{location}: {_describe(setting, document)}, expected {error}'
            )
    if not faults:
        settings = schema.record(**values)
        faults = _find_violated_rules(settings, name, index, schema)
    if faults:
        raise SettingsError(sorted(faults, key=_line_number))
    return settings


def _parse_document(text: str, name: str) -> dict[str, Any]:
    try:
        document = json5.loads(text)
    except ValueError as error:
        reason = str(error).replace('<string>', name)
        raise SettingsError([f'{reason}; expected JSON with comments']) from error
    if not isinstance(document, dict):
        raise SettingsError([f'{name}:1: expected an object of settings'])
    return document


def _find_invalid_keys(
    document: dict[str, Any], name: str, index: LineIndex, schema: SettingsSchema[T]
) -> list[str]:
    known = [setting.name for setting in schema.settings]
    faults = []
    for key in document:
        if key not in known:
            similar = difflib.get_close_matches(key, known, 1)
            hint = f'"{similar[0]}"' if similar else 'a name of the settings reference'
            location = f'{name}:{index.lines.get((key,), 1)}'
            faults.append(f'{location}: unknown setting "{key}", expected {hint}')
    for path in index.repeated:
        location = f'{name}:{index.lines[path]}'
        shown = '.'.join(str(part) for part in path)
        faults.append(f'{location}: "{shown}" appears twice, expected once')
    return faults


def _find_violated_rules(
    settings: T, name: str, index: LineIndex, schema: SettingsSchema[T]
) -> list[str]:
    """Return a fault for each rule between settings that does not hold."""
    faults = []
    for rule in schema.rules:
        if not rule.holds(settings):
            location = f'{name}:{index.lines.get((rule.name,), 1)}'
            shown = json.dumps(getattr(settings, rule.name))
            faults.append(
                f'{location}: "{rule.name}" is {shown}, expected {rule.expectation}'
            )
    return faults


def _read_value(setting: Setting, document: dict[str, Any]) -> Any:
    if setting.name in document:
        return setting.read(document[setting.name])
    if setting.default is REQUIRED:
        raise ValueError(setting.kind)
    return setting.default


def _describe(setting: Setting, document: dict[str, Any]) -> str:
    if setting.name not in document:
        return f'"{setting.name}" is missing'
    if setting.name in SECRET_SETTINGS:
        return f'"{setting.name}" has a wrong value'
    shown = json.dumps(document[setting.name])[:MAX_SHOWN_CHARACTERS]
    return f'"{setting.name}" is {shown}'


def _line_number(fault: str) -> int:
    digits = fault.split(': ', 1)[0].rpartition(':')[2]
    return int(digits) if digits.isdigit() else 0
