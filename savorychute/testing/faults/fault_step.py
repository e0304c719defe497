"""One line of a scenario's script."""

from __future__ import annotations

import msgspec


class FaultStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault or command with its arguments.

    ``target`` names an endpoint, instance, organisation or failure domain; what an
    empty one means is up to the fault.  ``for_ms`` is how long the fault lasts,
    0 for ever.  What ``factor`` multiplies is up to the fault too.
    """

    do: str
    ms: float = 0.0
    target: str = ''
    to: str = ''
    class_name: str = msgspec.field(default='', name='class')
    for_ms: float = 0.0
    delay_ms: float = 0.0
    factor: float = 1.0
    share: float = 0.0
    count: int = 1
