"""Commands for instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.instance.operator_verbs import OPERATOR_VERBS
from savorychute.instance.status import describe_status

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.operator_call import OperatorCall


@OPERATOR_VERBS.register('instance-list')
def list_instances(call: OperatorCall) -> list[Action]:
    """Return the members that this instance knows."""
    view = call.parts.membership.view()
    own = call.parts.address.instance
    offsets = {
        **call.parts.membership.peer_offsets(),
        own: call.parts.configuration.advertised_offset,
    }
    entries = [
        {
            **member._asdict(),
            'suspect': member.instance in view.suspects,
            'leaving': member.instance in view.leaving,
            'configuration_offset': offsets.get(member.instance, -1),
        }
        for member in view.alive
    ]
    return [call.reply({'instances': entries})]


@OPERATOR_VERBS.register('status')
def show_status(call: OperatorCall) -> list[Action]:
    """Return the status figures of this instance."""
    return [call.reply(describe_status(call.parts, call.now_ms))]
