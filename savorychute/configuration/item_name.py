"""Names of configuration items."""

from __future__ import annotations

from typing import NamedTuple

CONTRACT = 'contract'
ENDPOINT = 'endpoint'


class ItemName(NamedTuple):
    """The kind of an item, and the name of its organisation or endpoint."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}:{self.name}'


def parse_item(text: str) -> ItemName | None:
    """Parse ``contract:<organisation>`` or ``endpoint:<name>``.

    :param text: the item as operators write it.
    :returns: the name, or None if *text* has neither form.
    """
    kind, _, name = text.partition(':')
    if kind not in (CONTRACT, ENDPOINT) or not name:
        return None
    return ItemName(kind, name)
