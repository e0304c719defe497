from __future__ import annotations

import pytest

from benches.capacity import replace_blocks
from benches.capacity_roles.linear_fit import fit_line
from benches.capacity_roles.report import render_log, render_role, render_summary
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import Role


def test_fit_of_collinear_points_is_exact():
    fit = fit_line([8, 32, 128], [21.0, 69.0, 261.0])
    assert fit.slope == pytest.approx(2.0)
    assert fit.intercept == pytest.approx(5.0)
    assert fit.r_squared == pytest.approx(1.0)
    assert fit.at(530) == pytest.approx(1065.0)


def test_scatter_lowers_r_squared():
    assert fit_line([1, 2, 3, 4], [1.0, -1.0, 1.0, -1.0]).r_squared < 0.5


def test_rows_state_whether_the_target_was_measured():
    measured = [RoleSample(8, state_bytes=80.0), RoleSample(530, state_bytes=5_300.0)]
    extrapolated = [
        RoleSample(8, state_bytes=80.0),
        RoleSample(128, state_bytes=1_280.0),
    ]
    role = Role('a role', lambda size: RoleSample(size), 'x', 'y', (8, 530))
    assert '5,300 measured' in render_role(role, measured)
    assert '5,300 extrapolated' in render_role(role, extrapolated)
    assert 'processor' not in render_role(role, measured)


def test_summary_adds_both_directions_and_the_interpreter():
    sample = RoleSample(
        530, state_bytes=12e6, sent_bytes_per_s=900.0, received_bytes_per_s=1_100.0
    )
    text = render_summary({'a role': [sample], 'another': [sample]}, 40_000_000)
    assert '| **sum** | 24,000 | 0.00 | 4,000 | 0.000 |' in text
    assert 'x1.0 with 40.0 MB' in text


def test_log_counts_all_instances():
    sample = RoleSample(530, log_appends_per_s=0.1)
    assert '| **sum** | 53 | 0 |' in render_log({'a role': [sample]})


def test_only_marked_blocks_of_the_page_are_replaced():
    page = 'before\n<!-- a -->\nold\n<!-- end -->\n<!-- b -->\nkept\n<!-- end -->\n'
    replaced = replace_blocks(page, {'a': 'new \\1'})
    assert replaced == page.replace('old', 'new \\1')
