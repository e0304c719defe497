"""Fixture for a mesh of memberships on a virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from benches.capacity_roles.member_mesh import MemberMesh, make_address

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def start_mesh() -> Callable[..., MemberMesh]:
    """Return a function that starts a mesh and lets its tables settle."""

    def start(instances: int, regions: int = 1, seed: int = 1) -> MemberMesh:
        mesh = MemberMesh(seed=seed)
        for number in range(instances):
            mesh.start(make_address(number, regions))
        mesh.run(5_000)
        return mesh

    return start
