"""Configuration under arbitrary failures, against a fold of the whole log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from benches.configuration_rig import (
    ConfigurationSimulation,
    make_contract,
    make_endpoint,
)
from savorychute.actions.append_record import AppendRecord
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.inputs.log_record import LogRecord
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.configuration.keeper import ConfigurationKeeper

STREAM = 'configuration'
NAMES = ['a', 'b', 'c', 'd', 'e']
ITEMS = ['contract:x', 'contract:y', 'endpoint:e']
SETTINGS = ConfigurationSettings(
    snapshot_interval_ms=30_000, snapshot_jitter_ms=10_000, ring_bytes=4_000
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Five instances, a log, and whatever may happen to them."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = ConfigurationSimulation(seed=11, settings=SETTINGS)
        for number, name in enumerate(NAMES):
            self.rig.add(name, 'north', f'north-{number % 2}')
        self.rig.wait(7_000)
        self.seen: dict[ConfigurationKeeper, tuple[int, dict[str, int]]] = {}
        self.proposed: dict[str, str] = {}
        self.down: set[str] = set()

    @rule(
        number=st.integers(0, 4),
        item=st.sampled_from(ITEMS),
        is_old=st.booleans(),
        share=st.sampled_from([0.3, 0.6, 2.0]),
        state=st.sampled_from(['active', 'retired']),
        removes=st.booleans(),
    )
    def propose(self, number, item, is_old, share, state, removes):
        """An operator proposes, perhaps on an old base, perhaps nonsense."""
        name = NAMES[number]
        if name in self.down:
            return
        base = self.rig.managers[name].state.versions.get(item, 0)
        if is_old:
            base = max(0, base - 1)
        target = item.partition(':')[2]
        document = make_contract(target, share)
        if item.startswith('endpoint'):
            document = make_endpoint(target, state)
        self.rig.propose(name, item, base, None if removes else document)

    @rule(duration_ms=st.sampled_from([20, 300, 2_000, 15_000, 40_000]))
    def wait(self, duration_ms):
        """Time passes."""
        self.rig.wait(duration_ms)

    @rule(is_up=st.booleans(), loses=st.booleans(), late=st.booleans())
    def change_log(self, is_up, loses, late):
        """The log goes down or comes back, loses replies, or is slow."""
        self.rig.log.is_up = is_up
        self.rig.log.lose_replies = loses
        self.rig.late_append_ms = 9_000 if late else 0

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_messages(self, share):
        """The network between instances gets better or worse."""
        self.rig.loss_share = share

    @rule(cut=st.sets(st.sampled_from(NAMES)))
    def cut_from_log(self, cut):
        """Some instances cannot read."""
        self.rig.cut_from_log = cut

    @rule()
    def append_garbage(self):
        """Somebody's tool writes to the stream."""
        self.rig.log.append(AppendRecord('x', STREAM, b'\x00garbage'))

    @precondition(lambda self: len(self.down) < 3)
    @rule(number=st.integers(0, 4))
    def stop(self, number):
        """An instance fails."""
        name = NAMES[number]
        if name not in self.down:
            self.rig.stop(name)
            self.down.add(name)

    @rule()
    def start_again(self):
        """All failed instances are replaced."""
        for name in sorted(self.down):
            self.rig.add(name, 'north', f'north-{NAMES.index(name) % 2}')
        self.down.clear()

    @rule()
    def expire(self):
        """The retention passes, which the newest snapshot outlasts."""
        offsets = [
            keeper.status(self.rig.now_ms).snapshot_offset
            for keeper in self.rig.managers.values()
        ]
        if max(offsets) >= 0 and STREAM in self.rig.log.streams:
            first = self.rig.log.first_offsets.get(STREAM, 0)
            self.rig.log.expire(STREAM, max(first, *offsets))

    @invariant()
    def nothing_goes_back(self):
        """No run of an instance ever has an older configuration than before."""
        for keeper in self.rig.managers.values():
            before, versions = self.seen.get(keeper, (-1, {}))
            state = keeper.state
            assert state.offset >= before
            for item, version in state.versions.items():
                assert version >= versions.get(item, 0)
            self.seen[keeper] = (state.offset, dict(state.versions))

    @invariant()
    def equal_offsets_have_equal_states(self):
        """Two instances at one offset agree."""
        digests: dict[int, int] = {}
        for keeper in self.rig.managers.values():
            state = keeper.state
            assert digests.setdefault(state.offset, state.digest) == state.digest
            assert keeper.status(self.rig.now_ms).divergences == 0

    def teardown(self):
        """All heals; everybody gets the newest, and every answer was true."""
        self.rig.log.is_up = True
        self.rig.log.lose_replies = False
        self.rig.late_append_ms = 0
        self.rig.loss_share = 0.0
        self.rig.cut_from_log = set()
        self.start_again()
        self.rig.wait(20_000)
        end = len(self.rig.log.streams.get(STREAM, []))
        self.rig.wait(10_000)
        whole = ConfigurationFold()
        for offset, payload in enumerate(self.rig.log.streams.get(STREAM, [])):
            whole.apply(LogRecord(offset, payload))
        for name, keeper in self.rig.managers.items():
            assert keeper.ready, name
            assert keeper.state.offset >= end - 1, name
            assert keeper.state.digest == whole.state.digest
        for reply in self.rig.replies.values():
            self.check_reply(whole, reply)

    def check_reply(self, whole, reply):
        """An answer says what the log says."""
        answer = msgspec.json.decode(reply.document)
        verdict = whole.verdicts.find(answer.get('record_id', '?'))
        if reply.code is ResultCode.OK:
            assert verdict is not None
            assert verdict.accepted
            assert verdict.version == answer['version']
        elif reply.code is not ResultCode.CHANGE_UNCONFIRMED:
            assert verdict is None or not verdict.accepted


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
