"""Lines of the values in a text of JSON with comments."""

from __future__ import annotations

import re
from typing import NamedTuple

Path = tuple[str | int, ...]

TOKEN = re.compile(
    r"""(?P<comment>//[^\n]*|/\*.*?\*/)
      | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
      | (?P<mark>[{}\[\]:,])
      | (?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.DOTALL | re.VERBOSE,
)


class LineIndex(NamedTuple):
    """The line of each value by its path, and paths that appear twice."""

    lines: dict[Path, int]
    repeated: tuple[Path, ...]


class _Container:
    """An open object or list while its text is scanned."""

    def __init__(self, is_object: bool) -> None:
        self.is_object = is_object
        self.key: str | int = '' if is_object else 0
        self.expects_key = is_object


def index_lines(text: str) -> LineIndex:
    """Return where each value begins.

    The text has been parsed already, so it is well formed; this only finds
    the lines, which the parser does not tell.

    :param text: JSON with comments.
    """
    lines: dict[Path, int] = {(): 1}
    repeated: list[Path] = []
    stack: list[_Container] = []
    for found in TOKEN.finditer(text):
        if found['comment']:
            continue
        mark = found['mark']
        if mark in ('}', ']'):
            stack.pop()
        elif mark == ',':
            _begin_next(stack[-1])
        elif mark == ':':
            stack[-1].expects_key = False
        elif stack and stack[-1].expects_key:
            stack[-1].key = _unquote(found[0])
        else:
            path = tuple(container.key for container in stack)
            if path in lines and path:
                repeated.append(path)
            lines[path] = text.count('\n', 0, found.start()) + 1
            if mark:
                stack.append(_Container(mark == '{'))
    return LineIndex(lines, tuple(repeated))


def _begin_next(container: _Container) -> None:
    if container.is_object:
        container.expects_key = True
    else:
        assert isinstance(container.key, int)
        container.key += 1


def _unquote(token: str) -> str:
    return token[1:-1] if token[0] in '"\'' else token
