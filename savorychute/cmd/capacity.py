"""The command ``capacity``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.exit_code import ExitCode
from savorychute.cmd.output import add_output_arguments, print_document

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from savorychute.gateway.configuration.service_scaling import ServiceScaling
    from savorychute.gateway.duties.server_fleet import ServerFleet


@COMMANDS.register('capacity')
class Capacity:
    """Print how many endpoints each policy would order for a service."""

    summary = 'print how many endpoints would be ordered, of which kind, and why'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the description of the service."""
        parser.add_argument(
            'service', type=Path, help='JSON with comments: what stands, bounds, prices'
        )
        parser.add_argument('--plot', type=Path, help='write a picture of the fleets')
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Decide by each policy, and print what it comes to."""
        # Imported late: no other command decides on endpoints.
        from savorychute.gateway.duties.server_policies import SERVER_POLICIES
        from savorychute.gateway.duties.service_file import read_service_file

        standing, scaling = read_service_file(arguments.service)
        fleets = {
            name: SERVER_POLICIES.get(name)(standing, scaling) or standing
            for name in SERVER_POLICIES
        }
        rows = [_make_row(name, fleet, scaling) for name, fleet in fleets.items()]
        print_document({'policies': rows}, arguments.json)
        if arguments.plot is not None:
            from savorychute.testing.plot import plot_fleets

            plot_fleets(fleets, arguments.plot)
        return ExitCode.OK


def _make_row(
    policy: str, fleet: ServerFleet, scaling: ServiceScaling
) -> dict[str, Any]:
    part = scaling.reclaimable_price
    price = fleet.price(dict(scaling.prices), 1.0 if part is None else part)
    lasting = sum(each.lasting for _, each in fleet.domains)
    return {
        'policy': policy,
        'lasting': lasting,
        'reclaimable': fleet.total - lasting,
        'left_after_a_reclaim': fleet.remaining_after_reclaim(),
        'price_a_second': round(price, 2),
        'reason': fleet.reason or 'as it stands',
    }
