"""Costs of membership: probes, gossip and digests."""

from __future__ import annotations

import copy
from collections import Counter
from functools import cache
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from benches.capacity_roles.measuring import (
    REPETITIONS,
    allocated_bytes,
    decode,
    encode,
    time_us,
)
from benches.capacity_roles.member_mesh import MemberMesh, make_address
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.target import (
    DAY_S,
    SIZES,
    TARGET_FAILED_PER_DAY,
    TARGET_INSTANCES,
    TARGET_REPLACED_PER_DAY,
    Target,
)
from savorychute.actions import FetchListing, SendPeer
from savorychute.clock import MS_PER_S
from savorychute.inputs import ListingFetched
from savorychute.membership import Membership, MembershipSettings

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress

    pass

WARM_UP_MS = 120_000
WINDOW_MS = 60_000
SAMPLED_INSTANCE = 'entry-0001'


class RecordedEvent(NamedTuple):
    """A tick of the sampled instance or, with a sender, a frame that it received."""

    at_ms: int
    sender: str = ''
    frame: bytes = b''


class RecordedTraffic(NamedTuple):
    """The traffic of a mesh and the recorded events of one sampled instance.

    ``member`` is a copy of the sampled instance from the start of the
    recording; the byte counts are kept for each instance.
    """

    member: Membership
    live: tuple[MemberAddress, ...]
    events: tuple[RecordedEvent, ...]
    messages: int
    sent_bytes: Counter[str]
    received_bytes: Counter[str]


class MeshSamples(NamedTuple):
    """Samples of a settled mesh, and of it while one member fails and another joins."""

    settled: RoleSample
    changing: RoleSample


@role(
    'member',
    'probes of one member a second inside the region; digests inside the region '
    'and between a few representatives of each region',
    'a digest carries one entry for each region and each table holds every member: '
    'beyond some thousand instances the table would have to be kept per region',
    SIZES,
)
def measure_member(instances: int) -> RoleSample:
    """Measure a settled mesh for a minute, without changes of members.

    :param instances: the size of the system.
    """
    return measure_mesh(instances).settled


@role(
    'member, changes',
    'updates piggybacked on probes and passed on at once, each a multiple of the '
    'logarithm of the number of members; a token bucket bounds a restart of all',
    'the bound of 30 updates a second for each instance: a restart of everything '
    'takes longer to be known everywhere, nothing else grows',
    SIZES,
)
def measure_changes(instances: int) -> RoleSample:
    """Measure what failures and replacements add at the rate of an ordinary day.

    :param instances: the size of the system.
    """
    figures = measure_mesh(instances)
    changes_per_s = (
        (TARGET_FAILED_PER_DAY + TARGET_REPLACED_PER_DAY)
        * instances
        / (TARGET_INSTANCES * DAY_S)
    )
    # The window holds one failure and one join, which count as two changes.
    share = changes_per_s / 2 * WINDOW_MS / MS_PER_S
    settled, changing = figures

    def added_cost(field: str) -> float:
        return max(0.0, getattr(changing, field) - getattr(settled, field)) * share

    return RoleSample(
        instances,
        sent_messages_per_s=added_cost('sent_messages_per_s'),
        received_messages_per_s=added_cost('received_messages_per_s'),
        sent_bytes_per_s=added_cost('sent_bytes_per_s'),
        received_bytes_per_s=added_cost('received_bytes_per_s'),
    )


@cache
def measure_mesh(instances: int) -> MeshSamples:
    """Return the figures of a settled mesh and of one with a change.

    :param instances: the size of the system.
    """
    regions = Target(instances).regions
    mesh = start_mesh(instances, regions)
    settled = summarise_traffic(
        record_traffic(mesh, WINDOW_MS), instances, regions, WINDOW_MS
    )
    mesh.stop('entry-0002')
    mesh.start(make_address(instances, regions))
    changing = summarise_traffic(
        record_traffic(mesh, WINDOW_MS), instances, regions, WINDOW_MS
    )
    return MeshSamples(settled, changing)


def summarise_traffic(
    traffic: RecordedTraffic, instances: int, regions: int, window_ms: int
) -> RoleSample:
    """Return the rates of recorded traffic, and its processor time from a replay.

    :param traffic: the recorded traffic.
    :param instances: the size of the system.
    :param regions: the number of regions.
    :param window_ms: duration of the recording.
    """
    seconds = window_ms / MS_PER_S
    total_bytes = sum(traffic.sent_bytes.values())
    instance_seconds = instances * seconds
    busiest_bytes = max((traffic.sent_bytes + traffic.received_bytes).values())
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_table(instances, regions)),
        sent_messages_per_s=traffic.messages / instance_seconds,
        received_messages_per_s=traffic.messages / instance_seconds,
        sent_bytes_per_s=total_bytes / instance_seconds,
        received_bytes_per_s=total_bytes / instance_seconds,
        busiest_bytes_per_s=busiest_bytes / seconds,
        processor_us_per_s=time_replay(traffic) / seconds,
    )


def start_mesh(instances: int, regions: int) -> MemberMesh:
    """Return a mesh that has settled after all instances started at once.

    :param instances: the number of instances.
    :param regions: the number of regions.
    """
    mesh = MemberMesh()
    for number in range(instances):
        mesh.start(make_address(number, regions))
    mesh.run(WARM_UP_MS)
    return mesh


def record_traffic(mesh: MemberMesh, window_ms: int) -> RecordedTraffic:
    """Run a mesh, and record its traffic and the events of the sampled instance.

    :param mesh: a mesh with the sampled instance.
    :param window_ms: duration of the recording.
    """
    member = copy.deepcopy(mesh.members[SAMPLED_INSTANCE])
    events: list[RecordedEvent] = []
    messages = 0
    sent_bytes: Counter[str] = Counter()
    received_bytes: Counter[str] = Counter()

    def on_send(sender: str, target: str, message: tuple[object, ...]) -> None:
        nonlocal messages
        size_bytes = len(encode(sender, target, message))
        messages += 1
        sent_bytes[sender] += size_bytes
        received_bytes[target] += size_bytes

    def on_deliver(sender: str, target: str, message: tuple[object, ...]) -> None:
        if target == SAMPLED_INSTANCE:
            events.append(
                RecordedEvent(mesh.now_ms, sender, encode(sender, target, message))
            )

    def on_tick(instance: str) -> None:
        if instance == SAMPLED_INSTANCE:
            events.append(RecordedEvent(mesh.now_ms))

    mesh.on_send = on_send
    mesh.on_deliver = on_deliver
    mesh.on_tick = on_tick
    mesh.run(window_ms)
    return RecordedTraffic(
        member,
        tuple(mesh.listed.values()),
        tuple(events),
        messages,
        sent_bytes,
        received_bytes,
    )


def build_table(instances: int, regions: int) -> Membership:
    """Return a membership that knows all instances and shares no objects.

    :param instances: the number of instances.
    :param regions: the number of regions.
    """
    own = make_address(1, regions)
    member = Membership(MembershipSettings(), own, Random(1))
    live = tuple(make_address(number, regions) for number in range(instances))
    member.apply_listing(ListingFetched(True, live), 0)
    member.view()
    return member


def time_replay(traffic: RecordedTraffic) -> float:
    """Return the processor time of one instance for its recorded events.

    A copy of the instance, including its random number generator, processes
    the same events again and so does the same work.  Decoding, the state
    machine and encoding are counted; sockets are not.

    :param traffic: the recorded traffic.
    """
    members = [copy.deepcopy(traffic.member) for _ in range(REPETITIONS)]
    return time_us(lambda: replay(members.pop(), traffic))


def replay(member: Membership, traffic: RecordedTraffic) -> None:
    """Replay recorded events to an instance.

    :param member: the instance as it was at the start of the recording.
    :param traffic: the recorded traffic.
    """
    own = member.view().own
    for event in traffic.events:
        if event.sender:
            message = decode(event.frame, own.instance)
            actions = member.receive(event.sender, message, event.at_ms)
        else:
            actions = member.tick(event.at_ms)
        for action in actions:
            if isinstance(action, SendPeer):
                encode(own.instance, action.instance, action.message)
            elif isinstance(action, FetchListing):
                member.apply_listing(ListingFetched(True, traffic.live), event.at_ms)
