"""The measured quantities of a role with their units and limits."""

from __future__ import annotations

from typing import NamedTuple

from benches.capacity_roles.target import (
    CONTROL_LIMIT_BYTES_PER_S,
    MEMORY_LIMIT_BYTES,
    PROCESSOR_LIMIT_US_PER_S,
)


class Quantity(NamedTuple):
    """A field of :class:`RoleSample`; ``limit`` is 0 if there is none."""

    field: str
    title: str
    limit: float = 0.0


QUANTITIES = (
    Quantity('state_bytes', 'state, bytes', MEMORY_LIMIT_BYTES),
    Quantity('sent_messages_per_s', 'sent, messages/s'),
    Quantity('received_messages_per_s', 'received, messages/s'),
    Quantity('sent_bytes_per_s', 'sent, bytes/s', CONTROL_LIMIT_BYTES_PER_S),
    Quantity('received_bytes_per_s', 'received, bytes/s', CONTROL_LIMIT_BYTES_PER_S),
    Quantity(
        'busiest_bytes_per_s',
        'busiest instance, both ways, bytes/s',
        CONTROL_LIMIT_BYTES_PER_S,
    ),
    Quantity('processor_us_per_s', 'processor, µs/s', PROCESSOR_LIMIT_US_PER_S),
    Quantity('busiest_loop_ms', 'longest stand-still of a loop, ms'),
    Quantity('log_appends_per_s', 'log appends/s'),
    Quantity('log_reads_per_s', 'log reads/s'),
    Quantity('log_read_bytes_per_s', 'log, bytes read/s', CONTROL_LIMIT_BYTES_PER_S),
)
