"""Reads log files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.explain.log_line import LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of several files, sorted by time.

    :param paths: files of JSON lines; other text before a line or between lines is
        skipped, since log collectors add it.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open('rb') as file:
            lines.extend(_read_lines(file))
    lines.sort(key=lambda line: line.timestamp_s)
    return lines


def _read_lines(file: Iterable[bytes]) -> Iterator[LogLine]:
    for text in file:
        start = text.find(b'{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            # The line was truncated by a full disk or a restart of the collector; the
            # other lines are still useful.
            continue
        if 'message_type' in fields:
            yield LogLine(
                float(fields.get('timestamp', 0)),
                str(fields.get('instance', '')),
                str(fields['message_type']),
                str(fields.get('request_id', '')),
                fields,
            )
