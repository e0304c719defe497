"""The registry of operator commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.actions import Action
    from savorychute.instance.operator_call import OperatorCall

    OperatorVerb = Callable[[OperatorCall], list[Action]]

OPERATOR_VERBS: Registry[OperatorVerb] = Registry('operator command')
