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
    """Print how many endpoints each policy would request for a service."""

    summary = (
        'print how many endpoints of which kind each policy would request, and why'
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the description of the service."""
        parser.add_argument(
            'service',
            type=Path,
            help='JSON with comments: current endpoints, limits and prices',
        )
        parser.add_argument(
            '--plot', type=Path, help='write a plot of the fleets to this file'
        )
        add_output_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Apply each policy and print its decision."""
        # Imported here because no other command applies these policies.
        from savorychute.gateway.duties.server_policies import SERVER_POLICIES
        from savorychute.gateway.duties.service_file import read_service_file

        current_fleet, scaling = read_service_file(arguments.service)
        fleets = {
            name: SERVER_POLICIES.get(name)(current_fleet, scaling) or current_fleet
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
    reclaimable_price = scaling.reclaimable_price
    price = fleet.price(
        dict(scaling.prices), 1.0 if reclaimable_price is None else reclaimable_price
    )
    lasting = sum(domain.lasting for _, domain in fleet.domains)
    return {
        'policy': policy,
        'lasting': lasting,
        'reclaimable': fleet.total - lasting,
        'left_after_a_reclaim': fleet.remaining_after_reclaim(),
        'price_a_second': round(price, 2),
        'reason': fleet.reason or 'as it stands',
    }
