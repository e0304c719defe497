"""Line numbers of the values in a JSON text with comments."""

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
    """The line number of each value by its path, and the paths that appear twice."""

    lines: dict[Path, int]
    repeated: tuple[Path, ...]


class _Container:
    """An object or list whose end has not been scanned yet."""

    def __init__(self, is_object: bool) -> None:
        self.is_object = is_object
        self.key: str | int = '' if is_object else 0
        self.expects_key = is_object


def index_lines(text: str) -> LineIndex:
    """Return the line at which each value starts.

    The text has already been parsed and is therefore well-formed.  This function only
    finds the line numbers, which the parser does not return.

    :param text: JSON with comments.
    """
    lines: dict[Path, int] = {(): 1}
    repeated: list[Path] = []
    stack: list[_Container] = []
    for match in TOKEN.finditer(text):
        if match['comment']:
            continue
        punctuation = match['mark']
        if punctuation in ('}', ']'):
            stack.pop()
        elif punctuation == ',':
            _start_next(stack[-1])
        elif punctuation == ':':
            stack[-1].expects_key = False
        elif stack and stack[-1].expects_key:
            stack[-1].key = _unquote(match[0])
        else:
            path = tuple(container.key for container in stack)
            if path in lines and path:
                repeated.append(path)
            lines[path] = text.count('\n', 0, match.start()) + 1
            if punctuation:
                stack.append(_Container(punctuation == '{'))
    return LineIndex(lines, tuple(repeated))


def _start_next(container: _Container) -> None:
    if container.is_object:
        container.expects_key = True
    else:
        assert isinstance(container.key, int)
        container.key += 1


def _unquote(token: str) -> str:
    return token[1:-1] if token[0] in '"\'' else token
