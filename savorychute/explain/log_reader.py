"""Reading of logs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.explain.log_line import LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of some files, by time.

    :param paths: files of JSON lines; other text in front of a line or between lines
        is passed over, as it comes from whatever collected them.
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
            # Cut by a full disk or a restart of the collector; the rest still helps.
            continue
        if 'message_type' in fields:
            yield LogLine(
                float(fields.get('timestamp', 0)),
                str(fields.get('instance', '')),
                str(fields['message_type']),
                str(fields.get('request_id', '')),
                fields,
            )
