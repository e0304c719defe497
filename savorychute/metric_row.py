"""A row of the table of metrics."""

from __future__ import annotations

from typing import NamedTuple


class MetricRow(NamedTuple):
    """A metric's name, kind, labels and description.

    ``kind`` is ``counter``, ``gauge`` or ``histogram``.
    """

    name: str
    kind: str
    labels: tuple[str, ...]
    doc: str
