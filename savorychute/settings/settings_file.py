"""Reading of a settings file, with all of its faults at once."""

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

MAX_SHOWN = 60
SECRET_SETTINGS = ('peer_keys', 'operator_token_hashes')
INSTANCE_SCHEMA = SettingsSchema(SETTINGS, RULES, Settings)


def read_settings(path: Path | str) -> Settings:
    """Return the settings of an instance's file.

    :param path: a file of JSON with comments.
    :raises SettingsError: with every fault, each with file, line, value and
        what was expected.
    """
    return read_schema(path, INSTANCE_SCHEMA)


def read_schema(path: Path | str, schema: SettingsSchema[T]) -> T:
    """Return the settings of a file that follows *schema*.

    :param path: a file of JSON with comments.
    :param schema: the settings that may stand in it.
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
    :param name: the file's name for messages.
    :raises SettingsError: with every fault.
    """
    return parse_schema(text, name, INSTANCE_SCHEMA)


def parse_schema(text: str, name: str, schema: SettingsSchema[T]) -> T:
    """Return the settings in a text that follows *schema*.

    :param text: JSON with comments.
    :param name: the file's name for messages.
    :param schema: the settings that may stand in it.
    :raises SettingsError: with every fault.
    """
    document = _parse_document(text, name)
    return _build(document, name, index_lines(text), schema)


def build_settings(
    document: dict[str, Any], name: str = '<settings>', index: LineIndex | None = None
) -> Settings:
    """Return the settings of a parsed document.

    :param document: values by name of setting.
    :param name: the file's name for messages.
    :param index: the lines of the values, if there is a text.
    :raises SettingsError: with every fault.
    """
    return _build(document, name, index or LineIndex({}, ()), INSTANCE_SCHEMA)


def _build(
    document: dict[str, Any], name: str, index: LineIndex, schema: SettingsSchema[T]
) -> T:
    faults = _find_stray_keys(document, name, index, schema)
    values: dict[str, Any] = {}
    for setting in schema.settings:
        try:
            values[setting.name] = _read_value(setting, document)
        except ValueError as error:
            place = f'{name}:{index.lines.get((setting.name,), 1)}'
            faults.append(f'{place}: {_describe(setting, document)}, expected {error}')
    if not faults:
        settings = schema.record(**values)
        faults = _find_broken_rules(settings, name, index, schema)
    if faults:
        raise SettingsError(sorted(faults, key=_line_of))
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


def _find_stray_keys(
    document: dict[str, Any], name: str, index: LineIndex, schema: SettingsSchema[T]
) -> list[str]:
    known = [setting.name for setting in schema.settings]
    faults = []
    for key in document:
        if key not in known:
            near = difflib.get_close_matches(key, known, 1)
            hint = f'"{near[0]}"' if near else 'a name of the settings reference'
            place = f'{name}:{index.lines.get((key,), 1)}'
            faults.append(f'{place}: unknown setting "{key}", expected {hint}')
    for path in index.repeated:
        place = f'{name}:{index.lines[path]}'
        shown = '.'.join(str(part) for part in path)
        faults.append(f'{place}: "{shown}" appears twice, expected once')
    return faults


def _find_broken_rules(
    settings: T, name: str, index: LineIndex, schema: SettingsSchema[T]
) -> list[str]:
    """Return a fault for each rule between settings that does not hold."""
    faults = []
    for rule in schema.rules:
        if not rule.holds(settings):
            place = f'{name}:{index.lines.get((rule.name,), 1)}'
            shown = json.dumps(getattr(settings, rule.name))
            faults.append(
                f'{place}: "{rule.name}" is {shown}, expected {rule.expectation}'
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
    shown = json.dumps(document[setting.name])[:MAX_SHOWN]
    return f'"{setting.name}" is {shown}'


def _line_of(fault: str) -> int:
    digits = fault.split(': ', 1)[0].rpartition(':')[2]
    return int(digits) if digits.isdigit() else 0
