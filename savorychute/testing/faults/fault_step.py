"""One step of a scenario."""

from __future__ import annotations

import msgspec


class FaultStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault or command with its arguments.

    ``target`` names an endpoint, instance, organisation or failure domain; the
    meaning of an empty one depends on the fault.  ``for_ms`` is the duration of
    the fault; 0 means that it does not end.  What ``factor`` multiplies depends
    on the fault.
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
