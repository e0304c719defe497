"""Tables of the capacity page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benches.capacity_roles.linear_fit import fit_line
from benches.capacity_roles.quantities import QUANTITIES
from benches.capacity_roles.target import (
    CONTROL_LIMIT_BYTES_PER_S,
    MEMORY_LIMIT_BYTES,
    PROCESSOR_LIMIT_US_PER_S,
    TARGET_INSTANCES,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from benches.capacity_roles.quantities import Quantity
    from benches.capacity_roles.role_sample import RoleSample
    from benches.capacity_roles.roles import Role

HEADER_ROW = '| quantity | {} | slope | intercept | r² | at 530 | limit | margin |'


def render_role(role: Role, samples: Sequence[RoleSample]) -> str:
    """Return the section of one role.

    :param role: the measured role.
    :param samples: one for each size, ascending.
    """
    sizes = [sample.instances for sample in samples]
    columns = ' | '.join(f'at {size}' for size in sizes)
    lines = [
        f'Carried by: {role.mechanism}.',
        '',
        f'Breaks first beyond the target: {role.breaks}.',
        '',
        HEADER_ROW.format(columns),
        '|' + '---|' * (len(sizes) + 7),
    ]
    for quantity in QUANTITIES:
        values = _values(samples, quantity)
        if values:
            lines.append(_render_row(quantity, sizes, values))
    return '\n'.join(lines)


def value_at_target(samples: Sequence[RoleSample], quantity: Quantity) -> float | None:
    """Return a quantity at the target size, measured or extrapolated.

    :param samples: one for each size, ascending.
    :param quantity: the quantity.
    """
    values = _values(samples, quantity)
    if not values:
        return None
    if samples[-1].instances == TARGET_INSTANCES:
        return values[-1]
    sizes = [sample.instances for sample in samples]
    return max(0.0, fit_line(sizes, values).at(TARGET_INSTANCES))


def render_summary(
    measured: Mapping[str, Sequence[RoleSample]], interpreter_bytes: int
) -> str:
    """Return the table of all roles at the target, and their sum.

    :param measured: the samples of each role.
    :param interpreter_bytes: resident memory before any state.
    """
    lines = [
        '| role | state, KB | messages/s | control, bytes/s | processor, ms/s |',
        '|---|---|---|---|---|',
    ]
    totals = [0.0, 0.0, 0.0, 0.0]
    for name, samples in measured.items():
        row = _role_totals(samples)
        totals = [total + part for total, part in zip(totals, row, strict=True)]
        lines.append(_summary_row(name, row))
    lines.append(_summary_row('**sum**', totals))
    memory_bytes = totals[0] + interpreter_bytes
    lines.append(
        f'| **limit** | {MEMORY_LIMIT_BYTES / 1_000:,.0f} (whole process) | - |'
        f' {CONTROL_LIMIT_BYTES_PER_S:,} | {PROCESSOR_LIMIT_US_PER_S / 1_000:.0f} |'
    )
    lines.append(
        f'| **margin** | x{MEMORY_LIMIT_BYTES / memory_bytes:.1f} with'
        f' {interpreter_bytes / 1e6:.1f} MB for interpreter and libraries | - |'
        f' x{CONTROL_LIMIT_BYTES_PER_S / max(totals[2], 1.0):.2f} |'
        f' x{PROCESSOR_LIMIT_US_PER_S / max(totals[3], 1.0):.1f} |'
    )
    return '\n'.join(lines)


def render_log(measured: Mapping[str, Sequence[RoleSample]]) -> str:
    """Return the table of appends to and reads from the log at the target.

    :param measured: the samples of each role.
    """
    lines = [
        '| use | appends/s, all instances | reads/s, all instances |',
        '|---|---|---|',
    ]
    appends = reads = 0.0
    by_field = {quantity.field: quantity for quantity in QUANTITIES}
    for name, samples in measured.items():
        appended = value_at_target(samples, by_field['log_appends_per_s'])
        read = value_at_target(samples, by_field['log_reads_per_s'])
        if appended is None and read is None:
            continue
        appends += (appended or 0.0) * TARGET_INSTANCES
        reads += (read or 0.0) * TARGET_INSTANCES
        lines.append(
            f'| {name} | {(appended or 0.0) * TARGET_INSTANCES:.3g} |'
            f' {(read or 0.0) * TARGET_INSTANCES:.3g} |'
        )
    lines.append(f'| **sum** | {appends:.3g} | {reads:.3g} |')
    return '\n'.join(lines)


def _values(samples: Sequence[RoleSample], quantity: Quantity) -> list[float]:
    values = [getattr(sample, quantity.field) for sample in samples]
    return [] if None in values else values


def _render_row(
    quantity: Quantity, sizes: Sequence[int], values: Sequence[float]
) -> str:
    fit = fit_line(sizes, values)
    measured = sizes[-1] == TARGET_INSTANCES
    at_target = values[-1] if measured else max(0.0, fit.at(TARGET_INSTANCES))
    cells = [quantity.title, *(_format_number(value) for value in values)]
    cells += [
        _format_number(fit.slope),
        _format_number(fit.intercept),
        f'{fit.r_squared:.2f}',
    ]
    cells.append(
        f'{_format_number(at_target)} {"measured" if measured else "extrapolated"}'
    )
    cells.append(f'{quantity.limit:,.0f}' if quantity.limit else '-')
    cells.append(_format_margin(quantity, at_target))
    return '| ' + ' | '.join(cells) + ' |'


def _format_margin(quantity: Quantity, value: float) -> str:
    if not quantity.limit or value <= 0:
        return '-'
    return f'x{quantity.limit / value:.3g}'


def _format_number(value: float) -> str:
    if abs(value) >= 1_000:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _role_totals(samples: Sequence[RoleSample]) -> list[float]:
    values = {q.field: value_at_target(samples, q) or 0.0 for q in QUANTITIES}
    return [
        values['state_bytes'],
        values['sent_messages_per_s'] + values['received_messages_per_s'],
        values['sent_bytes_per_s'] + values['received_bytes_per_s'],
        values['processor_us_per_s'],
    ]


def _summary_row(name: str, row: Sequence[float]) -> str:
    state_bytes, messages_per_s, bytes_per_s, processor_us = row
    return (
        f'| {name} | {state_bytes / 1_000:,.0f} | {messages_per_s:.2f} |'
        f' {bytes_per_s:,.0f} | {processor_us / 1_000:.3f} |'
    )
