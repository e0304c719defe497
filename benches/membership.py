"""Membership under faults, stability of homes, and balance of discovery."""

from __future__ import annotations

import statistics
from random import Random
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from benches.capacity_roles.member_mesh import MemberMesh, make_address
from savorychute.clock import MS_PER_S
from savorychute.contracts.limits import REQUESTS_PER_S_PER_SEAT
from savorychute.membership import (
    DiscoverySettings,
    MembershipSettings,
    MemberView,
    answer_discovery,
    choose_homes,
)

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress

SETTLE_MS = 20_000
LOSS_SHARE = 0.05
PAUSE_MS = 2_000
FALSE_DEATH_MEMBERS = 66
FALSE_DEATH_MS = 300_000
PAUSE_INTERVAL_MS = 1_000
KILLED_MEMBERS = 128
KILLED_REGIONS = 2
KILLS = 10
TARGET_MEMBERS = 530
TARGET_REGIONS = 8
KEYS = 2_100
REGION_MEMBERS = 66
REGION_ORGANISATIONS = 175
LARGE_ORGANISATION_PERIOD = 20
CALLERS = 20
BALANCE_MS = 600_000
BALANCE_STEP_MS = 5_000
BALANCE_LAG_STEPS = 6
CUT_MEMBERS = 32
CUT_MS = 3_600_000
TIMEOUT_MS = 120_000


def run(repeats: int, rng: Random) -> list[BenchRow]:
    """Measure each figure once, as the meshes run on a virtual clock.

    :param repeats: number of mixes of organisations for the discovery measurement.
    :param rng: generates the seeds of the meshes.
    """
    seed = rng.getrandbits(32)
    return [
        *bench_false_deaths(seed),
        *bench_detection(seed),
        *bench_leave(seed),
        *bench_replacement(seed),
        *bench_cut(seed),
        *bench_moved_share(),
        *bench_discovery(repeats, rng),
    ]


def start_mesh(
    members: int, regions: int, seed: int, settings: MembershipSettings | None = None
) -> MemberMesh:
    """Return a mesh that has settled.

    :param members: the number of members.
    :param regions: the number of regions.
    :param seed: seed of the mesh.
    :param settings: settings of all memberships.
    """
    mesh = MemberMesh(settings, seed)
    for number in range(members):
        mesh.start(make_address(number, regions))
    mesh.run(SETTLE_MS)
    for member in mesh.members.values():
        member.take_changes()
    return mesh


def bench_false_deaths(seed: int) -> list[BenchRow]:
    """Count false deaths, compared with a membership without suspicion."""
    with_suspicion = MembershipSettings()
    without_suspicion = with_suspicion._replace(suspicion_ms=0)
    name = (
        'false deaths an instance and hour, 5 % loss and pauses of 2 s / no suspicion'
    )
    return [
        make_row(
            name,
            count_false_deaths(with_suspicion, seed),
            '1/h',
            count_false_deaths(without_suspicion, seed),
        )
    ]


def count_false_deaths(settings: MembershipSettings, seed: int) -> float:
    """Return how often a living member is declared dead, per member and hour.

    Every second, another instance is suspended for 2 seconds.

    :param settings: settings of all memberships.
    :param seed: seed of the mesh.
    """
    mesh = start_mesh(FALSE_DEATH_MEMBERS, 1, seed, settings)
    mesh.loss_share = LOSS_SHARE
    dead: set[tuple[str, int]] = set()
    pause_order = sorted(mesh.members)
    mesh.rng.shuffle(pause_order)
    for _ in range(FALSE_DEATH_MS // PAUSE_INTERVAL_MS):
        # In turn, so that pauses of one instance never overlap.
        pause_order.append(pause_order.pop(0))
        mesh.pause(pause_order[-1], PAUSE_MS)
        mesh.run(PAUSE_INTERVAL_MS)
        for member in mesh.members.values():
            for change in member.take_changes():
                if change.to_state == 'dead':
                    dead.add((change.instance, change.at_ms // TIMEOUT_MS))
    hours = FALSE_DEATH_MS / CUT_MS
    return len(dead) / FALSE_DEATH_MEMBERS / hours


def bench_detection(seed: int) -> list[BenchRow]:
    """Kill members one after the other and wait until all others detect it."""
    mesh = start_mesh(KILLED_MEMBERS, KILLED_REGIONS, seed)
    near_ms: list[float] = []
    all_ms: list[float] = []
    for number in range(KILLS):
        address = make_address(3 * number, KILLED_REGIONS)
        mesh.stop(address.instance)
        elapsed_ms = wait_for(mesh, address, False, near=True)
        near_ms.append(elapsed_ms)
        all_ms.append(elapsed_ms + wait_for(mesh, address, False, near=False))
    suspicion_ms = mesh.settings.suspicion_ms
    pairs = (('region', near_ms), ('all regions', all_ms))
    return [
        row
        for where, times_ms in pairs
        for row in (
            make_row(
                f'killed member dead in {where}, median / time to refute',
                statistics.median(times_ms),
                'ms',
                suspicion_ms,
            ),
            make_row(
                f'killed member dead in {where}, worst / time to refute',
                max(times_ms),
                'ms',
                suspicion_ms,
            ),
        )
    ]


def wait_for(mesh: MemberMesh, address: MemberAddress, alive: bool, near: bool) -> int:
    """Return the milliseconds until members agree on the state of one member.

    :param mesh: the mesh.
    :param address: the member to agree on.
    :param alive: the expected state.
    :param near: whether only members of its region count.
    """

    def members_agree() -> bool:
        return all(
            member.view().is_alive(address.instance) is alive
            for name, member in mesh.members.items()
            if not near or mesh.addresses[name].region == address.region
        )

    if members_agree():
        return 0
    elapsed_ms = mesh.run_until(members_agree, TIMEOUT_MS)
    if elapsed_ms is None:
        raise RuntimeError(f'no agreement on {address.instance}')
    return elapsed_ms


def bench_leave(seed: int) -> list[BenchRow]:
    """Let members of a mesh of the target size leave one after the other."""
    mesh = start_mesh(TARGET_MEMBERS, TARGET_REGIONS, seed)
    mesh.loss_share = LOSS_SHARE
    times_ms = []
    for number in range(KILLS):
        address = make_address(7 * number, TARGET_REGIONS)
        mesh.leave(address.instance)
        times_ms.append(wait_for(mesh, address, False, near=False))
    name = 'leaving member out of all 530 views under 5 % loss, worst / 3 s'
    return [make_row(name, max(times_ms), 'ms', 3 * MS_PER_S)]


def bench_replacement(seed: int) -> list[BenchRow]:
    """Replace half of all members at once by members with other names."""
    mesh = start_mesh(KILLED_MEMBERS, KILLED_REGIONS, seed)
    for number in range(0, KILLED_MEMBERS, 2):
        # Every second member of each region.  Regions alternate, so the offsets of a
        # group of four are 0 and 3, not 0 and 2.
        stopped = number + number // 2 % 2 * (KILLED_REGIONS - 1)
        mesh.stop(make_address(stopped, KILLED_REGIONS).instance)
        mesh.start(make_address(KILLED_MEMBERS + number, KILLED_REGIONS))
    names = set(mesh.members)
    elapsed_ms = mesh.run_until(
        lambda: all(
            {address.instance for address in member.view().alive} == names
            for member in mesh.members.values()
        ),
        TIMEOUT_MS,
    )
    name = 'views right after half of 128 was replaced / time to refute'
    return [make_row(name, elapsed_ms or TIMEOUT_MS, 'ms', mesh.settings.suspicion_ms)]


def bench_cut(seed: int) -> list[BenchRow]:
    """Separate two regions, then two halves of a region, for an hour each."""
    rows = []
    for where, regions in (('regions', 2), ('halves of a region', 1)):
        mesh = start_mesh(CUT_MEMBERS, regions, seed)
        side = {
            name: address.region
            if regions > 1
            else name < f'entry-{CUT_MEMBERS // 2:04}'
            for name, address in mesh.addresses.items()
        }
        mesh.is_cut = lambda a, b, side=side: side[a.instance] != side[b.instance]
        mesh.run(CUT_MS)
        mesh.is_cut = lambda a, b: a is b
        elapsed_ms = mesh.run_until(
            lambda mesh=mesh: all(
                len(member.view().alive) == CUT_MEMBERS
                for member in mesh.members.values()
            ),
            TIMEOUT_MS,
        )
        name = f'views whole after two {where} were cut for an hour / cut'
        rows.append(make_row(name, elapsed_ms or TIMEOUT_MS, 'ms', CUT_MS))
    return rows


def bench_moved_share() -> list[BenchRow]:
    """Compare the share of keys that the departure of a member moves with 1/N."""
    rows = []
    for members in (8, 66, TARGET_MEMBERS):
        addresses = [make_address(number) for number in range(members)]
        keys = [f'engine-{number:04}' for number in range(KEYS)]
        before = [choose_homes(key, addresses, 1) for key in keys]
        moved = 0
        departures = addresses[:: max(1, members // 8)][:8]
        for stopped in departures:
            remaining = [address for address in addresses if address != stopped]
            after = [choose_homes(key, remaining, 1) for key in keys]
            moved += sum(a != b for a, b in zip(before, after, strict=True))
        share = moved / KEYS / len(departures)
        name = f'homes moved by a departure of {members} members / ideal'
        rows.append(make_row(name, share * 100, '%', 100 / members))
    return rows


def bench_discovery(mixes: int, rng: Random) -> list[BenchRow]:
    """Compare the balance of a region with and without known loads.

    The figure is the load of the busiest instance over the mean. Callers ask again when
    the lifetime of a response ends; loads are 30 s old.

    :param mixes: number of mixes of organisations.
    :param rng: generates the mixes.
    """
    seeds = [rng.getrandbits(32) for _ in range(mixes)]
    without_loads = statistics.median(balance_region(seed, False) for seed in seeds)
    with_loads = statistics.median(balance_region(seed, True) for seed in seeds)
    return [
        make_row(
            'busiest of 66 instances over the mean, by discovery / without loads',
            with_loads,
            'x',
            without_loads,
        )
    ]


def balance_region(seed: int, uses_loads: bool) -> float:
    """Return the median over time of the highest load divided by the mean load.

    :param seed: seed of the rates of organisations and of all choices.
    :param uses_loads: whether discovery takes the loads into account.
    """
    rng = Random(seed)
    alive = tuple(make_address(number) for number in range(REGION_MEMBERS))
    view = MemberView(alive[0], alive)
    settings = DiscoverySettings(far_seats=0)
    rates = [draw_rate(number, rng) for number in range(REGION_ORGANISATIONS)]
    ends_ms = {
        (organisation_number, caller_number): 0
        for organisation_number in range(len(rates))
        for caller_number in range(CALLERS)
    }
    assigned: dict[tuple[int, int], str] = {}
    history: list[dict[str, int]] = []
    ratios = []
    for now_ms in range(0, BALANCE_MS, BALANCE_STEP_MS):
        lagging = (
            history[-BALANCE_LAG_STEPS] if len(history) > BALANCE_LAG_STEPS else {}
        )
        for caller, end_ms in ends_ms.items():
            if end_ms > now_ms:
                continue
            organisation = f'organisation-{caller[0]}'
            seats = count_seats(rates[caller[0]])
            loads = lagging if uses_loads else None
            response = answer_discovery(organisation, view, settings, rng, seats, loads)
            assigned[caller] = response.addresses[0].instance
            ends_ms[caller] = now_ms + response.lifetime_ms
        totals = dict.fromkeys((address.instance for address in alive), 0.0)
        for caller, instance in assigned.items():
            totals[instance] += rates[caller[0]] / CALLERS
        history.append({name: round(10 * total) for name, total in totals.items()})
        if now_ms > BALANCE_MS // 2:
            ratios.append(max(totals.values()) / statistics.mean(totals.values()))
    return statistics.median(ratios)


def draw_rate(number: int, rng: Random) -> float:
    """Return the requests per second of an organisation; a few are large.

    :param number: the number of the organisation.
    :param rng: generates the rate.
    """
    if number % LARGE_ORGANISATION_PERIOD == 0:
        return rng.uniform(50, 150)
    return rng.uniform(1, 10)


def count_seats(requests_per_s: float) -> int:
    """Return the seats of an organisation by its rate, as in contracts.

    :param requests_per_s: the request rate of the organisation.
    """
    return max(3, -(-int(requests_per_s) // REQUESTS_PER_S_PER_SEAT))
