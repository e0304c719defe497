from __future__ import annotations

from random import Random

from benches.capacity_roles.member_mesh import make_address, no_cut
from savorychute.actions import SendPeer
from savorychute.inputs import ListingFetched
from savorychute.membership import (
    Membership,
    MembershipSettings,
    MemberState,
    MemberUpdate,
)
from savorychute.membership.ack import Ack
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_status import MemberStatus
from savorychute.membership.ping import Ping


def all_agree(mesh, instance, alive):
    views = (member.view() for name, member in mesh.members.items() if name != instance)
    return all(view.is_alive(instance) is alive for view in views)


def test_all_members_of_the_list_are_alive_everywhere(start_mesh):
    mesh = start_mesh(12, regions=2)
    sizes = {len(member.view().alive) for member in mesh.members.values()}
    assert sizes == {12}


def test_killed_instance_is_declared_dead_by_all_members(start_mesh):
    """An instance's host fails while the platform still lists the instance.

    Probes stay unanswered and the suspicion is not refuted, so every member
    considers the instance dead although it is listed.
    """
    mesh = start_mesh(12)
    mesh.stop('entry-0004', listed=True)
    took_ms = mesh.run_until(lambda: all_agree(mesh, 'entry-0004', False), 30_000)
    assert took_ms is not None
    mesh.run(60_000)
    assert all_agree(mesh, 'entry-0004', False)


def test_paused_instance_refutes_the_suspicion(start_mesh):
    """An instance pauses for two seconds, as in a long garbage collection.

    A probe stays unanswered and the instance is suspected.  When it resumes it
    raises its counter, so that it stays in all views.
    """
    mesh = start_mesh(12)
    mesh.pause('entry-0004', 2_000)
    dead_ms = mesh.run_until(lambda: not all_agree(mesh, 'entry-0004', True), 10_000)
    assert dead_ms is None
    assert all(not member.view().suspects for member in mesh.members.values())


def test_resumed_instance_suspects_no_other_member(start_mesh):
    """An instance pauses for a minute while a probe is in progress.

    When it resumes, the acknowledgement is late by its clock.  Without an
    allowance for the pause it would suspect healthy members.
    """
    mesh = start_mesh(12)
    mesh.pause('entry-0004', 60_000)
    mesh.run(60_000)
    mesh.members['entry-0004'].take_changes()
    mesh.run(2_000)
    suspected = [
        change.instance
        for change in mesh.members['entry-0004'].take_changes()
        if change.to_state in ('suspect', 'dead')
    ]
    assert suspected == []


def test_old_gossip_does_not_bring_a_dead_member_back(start_mesh):
    """A delayed message from before a crash states that the dead member is alive.

    If it were applied, callers would be sent to an address where no process
    listens.
    """
    mesh = start_mesh(6)
    old = MemberUpdate(mesh.addresses['entry-0004'])
    mesh.stop('entry-0004')
    mesh.run_until(lambda: all_agree(mesh, 'entry-0004', False), 30_000)
    member = mesh.members['entry-0001']
    member.receive('entry-0002', Gossip((old,)), mesh.now_ms)
    assert not member.view().is_alive('entry-0004')


def test_restarted_instance_replaces_its_earlier_incarnation(start_mesh):
    """An instance crashes and restarts at once at another address.

    A late update of the earlier incarnation must not override the new one.
    """
    mesh = start_mesh(6)
    earlier = mesh.addresses['entry-0004']
    mesh.stop('entry-0004')
    mesh.start(earlier._replace(incarnation=2, host='10.0.0.99'))
    mesh.run(3_000)
    member = mesh.members['entry-0001']
    dead = MemberUpdate(earlier, 7, MemberState.DEAD)
    member.receive('entry-0002', Gossip((dead,)), mesh.now_ms)
    address = member.view().address_of('entry-0004')
    assert address is not None
    assert address.host == '10.0.0.99'


def test_leaving_instance_is_out_of_all_views_within_three_seconds(start_mesh):
    """An instance starts a graceful shutdown.

    No member may send callers to it any more, although it still runs, nor
    later while it is unresponsive and only suspected.
    """
    mesh = start_mesh(24, regions=3)
    mesh.leave('entry-0004')
    took_ms = mesh.run_until(lambda: all_agree(mesh, 'entry-0004', False), 30_000)
    assert took_ms is not None
    assert took_ms <= 3_000
    mesh.stop('entry-0004')
    back_ms = mesh.run_until(lambda: not all_agree(mesh, 'entry-0004', False), 20_000)
    assert back_ms is None


def test_sides_of_a_partition_reconnect(start_mesh):
    """A network partition separates two failure domains for several minutes.

    Each side declares the other dead.  Unless dead members are probed, the
    system stays split after the partition has healed.
    """
    mesh = start_mesh(12)
    mesh.is_cut = lambda a, b: (
        (a.failure_domain == 'region-0-hall-0')
        != (b.failure_domain == 'region-0-hall-0')
    )
    mesh.run(300_000)
    assert len(mesh.members['entry-0001'].view().alive) == 8
    mesh.is_cut = no_cut
    healed_ms = mesh.run_until(
        lambda: all(len(m.view().alive) == 12 for m in mesh.members.values()), 60_000
    )
    assert healed_ms is not None


def test_region_is_found_after_replacing_all_members_during_a_partition(start_mesh):
    """A network partition separates two regions while one replaces all its instances.

    None of the known representatives exists any more.  The list names the new
    ones, and both regions must see each other's members again.
    """
    mesh = start_mesh(8, regions=2)
    mesh.is_cut = lambda a, b: a.region != b.region
    mesh.run(60_000)
    for number in range(1, 8, 2):
        mesh.stop(f'entry-{number:04}')
        mesh.start(make_address(number + 100, 2))
    mesh.run(60_000)
    assert {m.region for m in mesh.members['entry-0000'].view().alive} == {'region-0'}
    mesh.is_cut = no_cut
    instances = set(mesh.members)
    healed_ms = mesh.run_until(
        lambda: all(
            {m.instance for m in member.view().alive} == instances
            for member in mesh.members.values()
        ),
        90_000,
    )
    assert healed_ms is not None


def test_probes_carry_configuration_offsets(start_mesh):
    mesh = start_mesh(4)
    mesh.members['entry-0002'].advertise(41)
    mesh.run(10_000)
    assert mesh.members['entry-0001'].peer_offsets()['entry-0002'] == 41


def test_probes_carry_loads(start_mesh):
    mesh = start_mesh(4)
    mesh.members['entry-0002'].advertise(1, MemberStatus(load=17))
    mesh.run(10_000)
    assert mesh.members['entry-0001'].peer_loads()['entry-0002'] == 17


def test_missed_refutation_is_requested_before_declaring_death():
    """A suspected member refutes, but one other member misses the refutation.

    All gossip to that member is lost.  Its own last ping to the suspect must
    yield the refutation before it declares a live member dead.
    """
    settings = MembershipSettings(probe_period_ms=60_000, gossip_period_ms=600_000)
    own, address = make_address(0), make_address(4)
    member = Membership(settings, own, Random(1))
    member.tick(0)
    member.apply_listing(ListingFetched(True, (own, address)), 0)
    suspicion = MemberUpdate(address, 0, int(MemberState.SUSPECT))
    member.receive('entry-0002', Gossip((suspicion,)), 100)
    pings = [
        action.message
        for now_ms in range(150, settings.suspicion_ms, 50)
        for action in member.tick(now_ms)
        if isinstance(action, SendPeer) and isinstance(action.message, Ping)
    ]
    assert 1 <= len(pings) <= 4
    assert all(suspicion in ping.updates for ping in pings)
    ack = Ack(pings[0].sequence, MemberUpdate(address, 1), -1)
    member.receive('entry-0004', ack, settings.suspicion_ms)
    member.tick(settings.suspicion_ms + 200)
    assert member.view().is_alive('entry-0004')
    assert not member.view().suspects
