"""Membership under loss, pauses, kills and cuts; homes; discovery's balance."""

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
PAUSE_EVERY_MS = 1_000
KILLED_MEMBERS = 128
KILLED_REGIONS = 2
KILLS = 10
TARGET_MEMBERS = 530
TARGET_REGIONS = 8
KEYS = 2_100
REGION_MEMBERS = 66
REGION_ORGANISATIONS = 175
LARGE_ONE_IN = 20
CALLERS = 20
BALANCE_MS = 600_000
BALANCE_STEP_MS = 5_000
BALANCE_LAG_STEPS = 6
CUT_MEMBERS = 32
CUT_MS = 3_600_000
GIVE_UP_MS = 120_000


def run(repeats: int, rng: Random) -> list[BenchRow]:
    """Measure once each; the meshes run on a virtual clock and are exact.

    :param repeats: how many organisations' mixes discovery is measured with.
    :param rng: seeds the meshes.
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

    :param members: how many.
    :param regions: in how many regions.
    :param seed: of the mesh.
    :param settings: of all memberships.
    """
    mesh = MemberMesh(settings, seed)
    for number in range(members):
        mesh.start(make_address(number, regions))
    mesh.run(SETTLE_MS)
    for member in mesh.members.values():
        member.take_changes()
    return mesh


def bench_false_deaths(seed: int) -> list[BenchRow]:
    """Count deaths of living members, against a membership without suspicion."""
    settled = MembershipSettings()
    hasty = settled._replace(suspicion_ms=0)
    name = (
        'false deaths an instance and hour, 5 % loss and pauses of 2 s / no suspicion'
    )
    return [
        make_row(
            name,
            count_false_deaths(settled, seed),
            '1/h',
            count_false_deaths(hasty, seed),
        )
    ]


def count_false_deaths(settings: MembershipSettings, seed: int) -> float:
    """Return how often a living member was declared dead, each in an hour.

    Every second another instance stands still for two seconds.

    :param settings: of all memberships.
    :param seed: of the mesh.
    """
    mesh = start_mesh(FALSE_DEATH_MEMBERS, 1, seed, settings)
    mesh.loss = LOSS_SHARE
    dead: set[tuple[str, int]] = set()
    rested = sorted(mesh.members)
    mesh.rng.shuffle(rested)
    for _ in range(FALSE_DEATH_MS // PAUSE_EVERY_MS):
        # In turn, so that two pauses never add up to a longer one.
        rested.append(rested.pop(0))
        mesh.pause(rested[-1], PAUSE_MS)
        mesh.run(PAUSE_EVERY_MS)
        for member in mesh.members.values():
            for change in member.take_changes():
                if change.to_state == 'dead':
                    dead.add((change.instance, change.at_ms // GIVE_UP_MS))
    hours = FALSE_DEATH_MS / CUT_MS
    return len(dead) / FALSE_DEATH_MEMBERS / hours


def bench_detection(seed: int) -> list[BenchRow]:
    """Kill one member after the other and wait until all know."""
    mesh = start_mesh(KILLED_MEMBERS, KILLED_REGIONS, seed)
    near_ms: list[float] = []
    all_ms: list[float] = []
    for number in range(KILLS):
        address = make_address(3 * number, KILLED_REGIONS)
        mesh.stop(address.instance)
        took_ms = wait_for(mesh, address, False, near=True)
        near_ms.append(took_ms)
        all_ms.append(took_ms + wait_for(mesh, address, False, near=False))
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
    """Return the milliseconds until members agree on one.

    :param mesh: the mesh.
    :param address: whom they are to agree on.
    :param alive: what they are to hold.
    :param near: whether only those of its region count.
    """

    def agree() -> bool:
        return all(
            member.view().is_alive(address.instance) is alive
            for name, member in mesh.members.items()
            if not near or mesh.addresses[name].region == address.region
        )

    if agree():
        return 0
    took_ms = mesh.run_until(agree, GIVE_UP_MS)
    if took_ms is None:
        raise RuntimeError(f'no agreement on {address.instance}')
    return took_ms


def bench_leave(seed: int) -> list[BenchRow]:
    """Let members of the target's size leave one after the other."""
    mesh = start_mesh(TARGET_MEMBERS, TARGET_REGIONS, seed)
    mesh.loss = LOSS_SHARE
    times_ms = []
    for number in range(KILLS):
        address = make_address(7 * number, TARGET_REGIONS)
        mesh.leave(address.instance)
        times_ms.append(wait_for(mesh, address, False, near=False))
    name = 'leaving member out of all 530 views under 5 % loss, worst / 3 s'
    return [make_row(name, max(times_ms), 'ms', 3 * MS_PER_S)]


def bench_replacement(seed: int) -> list[BenchRow]:
    """Replace half of all members at once, by others of other names."""
    mesh = start_mesh(KILLED_MEMBERS, KILLED_REGIONS, seed)
    for number in range(0, KILLED_MEMBERS, 2):
        # Every second one of each region: two of four follow each other.
        gone = number + number // 2 % 2 * (KILLED_REGIONS - 1)
        mesh.stop(make_address(gone, KILLED_REGIONS).instance)
        mesh.start(make_address(KILLED_MEMBERS + number, KILLED_REGIONS))
    names = set(mesh.members)
    took_ms = mesh.run_until(
        lambda: all(
            {address.instance for address in member.view().alive} == names
            for member in mesh.members.values()
        ),
        GIVE_UP_MS,
    )
    name = 'views right after half of 128 was replaced / time to refute'
    return [make_row(name, took_ms or GIVE_UP_MS, 'ms', mesh.settings.suspicion_ms)]


def bench_cut(seed: int) -> list[BenchRow]:
    """Cut two regions, and two halves of one, for an hour each."""
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
        took_ms = mesh.run_until(
            lambda mesh=mesh: all(
                len(member.view().alive) == CUT_MEMBERS
                for member in mesh.members.values()
            ),
            GIVE_UP_MS,
        )
        name = f'views whole after two {where} were cut for an hour / cut'
        rows.append(make_row(name, took_ms or GIVE_UP_MS, 'ms', CUT_MS))
    return rows


def bench_moved_share() -> list[BenchRow]:
    """Compare the share of keys that one departure moves with 1/N."""
    rows = []
    for members in (8, 66, TARGET_MEMBERS):
        addresses = [make_address(number) for number in range(members)]
        keys = [f'engine-{number:04}' for number in range(KEYS)]
        before = [choose_homes(key, addresses, 1) for key in keys]
        moved = 0
        departures = addresses[:: max(1, members // 8)][:8]
        for gone in departures:
            rest = [address for address in addresses if address != gone]
            after = [choose_homes(key, rest, 1) for key in keys]
            moved += sum(a != b for a, b in zip(before, after, strict=True))
        share = moved / KEYS / len(departures)
        name = f'homes moved by a departure of {members} members / ideal'
        rows.append(make_row(name, share * 100, '%', 100 / members))
    return rows


def bench_discovery(mixes: int, rng: Random) -> list[BenchRow]:
    """Measure the busiest instance of a region over the mean, against no loads.

    Callers ask again when their answer ends; loads are those of 30 s before.

    :param mixes: how many mixes of organisations.
    :param rng: draws the mixes.
    """
    seeds = [rng.getrandbits(32) for _ in range(mixes)]
    blind = statistics.median(balance_region(seed, False) for seed in seeds)
    aware = statistics.median(balance_region(seed, True) for seed in seeds)
    return [
        make_row(
            'busiest of 66 instances over the mean, by discovery / without loads',
            aware,
            'x',
            blind,
        )
    ]


def balance_region(seed: int, aware: bool) -> float:
    """Return the median over time of the busiest instance's load over the mean.

    :param seed: of organisations' rates and all choices.
    :param aware: whether answers take the loads into account.
    """
    rng = Random(seed)
    alive = tuple(make_address(number) for number in range(REGION_MEMBERS))
    view = MemberView(alive[0], alive)
    settings = DiscoverySettings(far_seats=0)
    rates = [draw_rate(number, rng) for number in range(REGION_ORGANISATIONS)]
    ends_ms = {(c, k): 0 for c in range(len(rates)) for k in range(CALLERS)}
    used: dict[tuple[int, int], str] = {}
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
            seats = seats_for(rates[caller[0]])
            loads = lagging if aware else None
            answer = answer_discovery(organisation, view, settings, rng, seats, loads)
            used[caller] = answer.addresses[0].instance
            ends_ms[caller] = now_ms + answer.lifetime_ms
        totals = dict.fromkeys((address.instance for address in alive), 0.0)
        for caller, instance in used.items():
            totals[instance] += rates[caller[0]] / CALLERS
        history.append({name: round(10 * total) for name, total in totals.items()})
        if now_ms > BALANCE_MS // 2:
            ratios.append(max(totals.values()) / statistics.mean(totals.values()))
    return statistics.median(ratios)


def draw_rate(number: int, rng: Random) -> float:
    """Return an organisation's requests a second; a few organisations are large.

    :param number: of the organisation.
    :param rng: draws the rate.
    """
    if number % LARGE_ONE_IN == 0:
        return rng.uniform(50, 150)
    return rng.uniform(1, 10)


def seats_for(requests_per_s: float) -> int:
    """Return an organisation's seats by its rate, as contracts give them.

    :param requests_per_s: the organisation's rate.
    """
    return max(3, -(-int(requests_per_s) // REQUESTS_PER_S_PER_SEAT))
