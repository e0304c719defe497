"""Configuration under arbitrary failures, compared with a fold of the whole log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from benches.configuration_rig import Rig, make_contract, make_endpoint
from savorychute.actions.append_record import AppendRecord
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.inputs.log_record import LogRecord
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.configuration.manager import ConfigurationManager

STREAM = 'configuration'
NAMES = ['a', 'b', 'c', 'd', 'e']
ITEMS = ['contract:x', 'contract:y', 'endpoint:e']
SETTINGS = ConfigurationSettings(
    snapshot_interval_ms=30_000, snapshot_jitter_ms=10_000, ring_bytes=4_000
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Five instances and a log, with failures in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Rig(seed=11, settings=SETTINGS)
        for number, name in enumerate(NAMES):
            self.cluster.add(name, 'north', f'north-{number % 2}')
        self.cluster.wait(7_000)
        self.last_seen: dict[ConfigurationManager, tuple[int, dict[str, int]]] = {}
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
        """An operator proposes a change, maybe invalid or with an old base version."""
        name = NAMES[number]
        if name in self.down:
            return
        base = self.cluster.keepers[name].state.versions.get(item, 0)
        if is_old:
            base = max(0, base - 1)
        target = item.partition(':')[2]
        document = make_contract(target, share)
        if item.startswith('endpoint'):
            document = make_endpoint(target, state)
        self.cluster.propose(name, item, base, None if removes else document)

    @rule(duration_ms=st.sampled_from([20, 300, 2_000, 15_000, 40_000]))
    def wait(self, duration_ms):
        """Time passes."""
        self.cluster.wait(duration_ms)

    @rule(is_up=st.booleans(), loses=st.booleans(), late=st.booleans())
    def change_log(self, is_up, loses, late):
        """The log becomes unavailable or available, loses replies, or is slow."""
        self.cluster.log.is_up = is_up
        self.cluster.log.lose_replies = loses
        self.cluster.late_append_ms = 9_000 if late else 0

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_messages(self, share):
        """The share of lost messages between instances changes."""
        self.cluster.loss_share = share

    @rule(cut=st.sets(st.sampled_from(NAMES)))
    def cut_from_log(self, cut):
        """Some instances cannot read the log."""
        self.cluster.log_is_cut_from = cut

    @rule()
    def append_garbage(self):
        """A foreign tool appends garbage to the stream."""
        self.cluster.log.append(AppendRecord('x', STREAM, b'\x00garbage'))

    @precondition(lambda self: len(self.down) < 3)
    @rule(number=st.integers(0, 4))
    def stop(self, number):
        """An instance crashes."""
        name = NAMES[number]
        if name not in self.down:
            self.cluster.stop(name)
            self.down.add(name)

    @rule()
    def start_again(self):
        """All crashed instances are replaced."""
        for name in sorted(self.down):
            self.cluster.add(name, 'north', f'north-{NAMES.index(name) % 2}')
        self.down.clear()

    @rule()
    def expire(self):
        """The log expires all records that the newest snapshot covers."""
        offsets = [
            manager.status(self.cluster.now_ms).snapshot_offset
            for manager in self.cluster.keepers.values()
        ]
        if max(offsets) >= 0 and STREAM in self.cluster.log.streams:
            first = self.cluster.log.first_offsets.get(STREAM, 0)
            self.cluster.log.expire(STREAM, max(first, *offsets))

    @invariant()
    def offsets_and_versions_never_decrease(self):
        """The configuration of an instance never becomes older during a run."""
        for manager in self.cluster.keepers.values():
            before, versions = self.last_seen.get(manager, (-1, {}))
            state = manager.state
            assert state.offset >= before
            for item, version in state.versions.items():
                assert version >= versions.get(item, 0)
            self.last_seen[manager] = (state.offset, dict(state.versions))

    @invariant()
    def equal_offsets_have_equal_states(self):
        """Two instances at the same offset have the same state."""
        digests: dict[int, int] = {}
        for manager in self.cluster.keepers.values():
            state = manager.state
            assert digests.setdefault(state.offset, state.digest) == state.digest
            assert manager.status(self.cluster.now_ms).divergences == 0

    def teardown(self):
        """Without failures, all instances converge, and all replies were correct."""
        self.cluster.log.is_up = True
        self.cluster.log.lose_replies = False
        self.cluster.late_append_ms = 0
        self.cluster.loss_share = 0.0
        self.cluster.log_is_cut_from = set()
        self.start_again()
        self.cluster.wait(20_000)
        end = len(self.cluster.log.streams.get(STREAM, []))
        self.cluster.wait(10_000)
        whole = ConfigurationFold()
        for offset, payload in enumerate(self.cluster.log.streams.get(STREAM, [])):
            whole.apply(LogRecord(offset, payload))
        for name, manager in self.cluster.keepers.items():
            assert manager.ready, name
            assert manager.state.offset >= end - 1, name
            assert manager.state.digest == whole.state.digest
        for reply in self.cluster.replies.values():
            self.check_reply(whole, reply)

    def check_reply(self, whole, reply):
        """Check that a reply agrees with the verdict of the whole log."""
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
