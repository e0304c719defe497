"""Exchange of observations of engines between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.engines.cell_sums import remaining_shares
from savorychute.gateway.engines.engine_news import EngineNews
from savorychute.gateway.engines.speed_codec import (
    SpeedCodecError,
    decode_rows,
    encode_row,
)
from savorychute.gateway.engines.speed_evidence import reporter_id

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.gateway.engines.shared_speeds import SharedSpeeds
    from savorychute.gateway.engines.speed_evidence import SpeedRow
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

    # A run and a reporting instance.
    RowId = tuple[int, int]

# Two messages a second of at most this size, sent and received, take half of what an
# instance may use for its control traffic.
PERIOD_MS = 500
MAX_ROWS_BYTES = 450
# A row is told again once its weight has grown by this factor, or a rate has moved by
# this share.
MOVED_WEIGHT_FACTOR = 1.6
MOVED_RATE = 0.15
# How often a row of another instance is passed on, and how many such rows wait for it.
MAX_RELAYS = 4
MAX_QUEUED = 256
EXPIRY_MS = 5_000


class SpeedExchange:
    """Tells other instances, in turn, the rows that have moved since they were told.

    An instance's own rows come first; the rest of a message passes on rows of others, so
    that a row reaches more instances than its reporting instance can tell in time.

    :param speeds: the observations, and the comparisons to refresh.
    :param rng: random number generator, which orders the instances.
    :param on_invalid: called with the sender of a message or row that is not valid.
    """

    def __init__(
        self,
        speeds: SharedSpeeds,
        rng: random.Random,
        on_invalid: Callable[[str], None],
    ) -> None:
        self._speeds = speeds
        self._evidence = speeds.evidence
        self._rng = rng
        self._on_invalid = on_invalid
        self._next_ms = 0
        self._targets: list[str] = []
        self._next_expiry_ms = 0
        self._told: dict[RowId, SpeedRow] = {}
        # Rows to tell, with how often they were told since they moved, in the order of
        # preference: own rows and those of others for the first time, and all again.
        self._moved: dict[RowId, int] = {}
        self._relayed: dict[RowId, int] = {}
        self._again: dict[RowId, int] = {}

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Compare the engines that are due; return the message that is due, if any.

        :param view: the current members.
        :param now_ms: the current time.
        """
        self._speeds.refresh(now_ms)
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + PERIOD_MS
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_MS
            self._expire(now_ms)
        self._collect_changes()
        others = len(view.alive) - 1
        if others < 1:
            return []
        rows = self._take_rows(others, now_ms)
        target = self._next_target(view) if rows else None
        if target is None:
            return []
        message = EngineNews(rows)
        return [SendPeer(target.instance, target.host, target.peer_port, message)]

    def handle(self, sender: str, message: EngineNews, now_ms: int) -> None:
        """Store the rows of another instance.

        :param sender: the instance.
        :param message: its message.
        :param now_ms: the current time.
        """
        try:
            via = reporter_id(sender)
            for key, reporter, row in decode_rows(message.rows, via, now_ms):
                if not self._evidence.merge(reporter, key, row):
                    self._on_invalid(sender)
        except SpeedCodecError:
            self._on_invalid(sender)

    def _collect_changes(self) -> None:
        for row_id in self._evidence.pop_changed():
            row = self._evidence.row(*row_id)
            told = self._told.get(row_id)
            if row is None or (told is not None and not _has_moved(row, told)):
                continue
            self._again.pop(row_id, None)
            is_own = row_id[1] == self._evidence.own
            queue = self._moved if is_own else self._relayed
            queue[row_id] = 0
        while len(self._relayed) > MAX_QUEUED:
            del self._relayed[next(iter(self._relayed))]

    def _take_rows(self, others: int, now_ms: int) -> bytes:
        """Return the rows of the next message.

        :param others: number of other instances.
        :param now_ms: the current time.
        """
        data = b''
        told: dict[RowId, int] = {}
        for queue in (self._moved, self._relayed, self._again):
            for row_id, tells in list(queue.items()):
                row = self._evidence.row(*row_id)
                encoded = b'' if row is None else encode_row(*row_id, row, now_ms)
                if len(data) + len(encoded) > MAX_ROWS_BYTES:
                    break
                data += encoded
                del queue[row_id]
                if row is not None:
                    self._told[row_id] = row
                    told[row_id] = tells + 1
        for row_id, tells in told.items():
            is_own = row_id[1] == self._evidence.own
            if tells < (others if is_own else MAX_RELAYS):
                self._again[row_id] = tells
        return data

    def _expire(self, now_ms: int) -> None:
        """Drop what has aged."""
        self._evidence.expire(now_ms)
        for rows in (self._told, self._moved, self._relayed, self._again):
            for row_id in [each for each in rows if not self._evidence.row(*each)]:
                del rows[row_id]

    def _next_target(self, view: MemberView) -> MemberAddress | None:
        """Return the next instance of a shuffled round over all."""
        for _ in range(2):
            while self._targets:
                target = self._targets.pop()
                address = view.address_of(target)
                if address is not None and target != view.own.instance:
                    return address
            self._targets = [member.instance for member in view.alive]
            self._rng.shuffle(self._targets)
        return None


def _has_moved(row: SpeedRow, told: SpeedRow) -> bool:
    elapsed_ms = row.at_ms - told.at_ms
    remaining, _ = remaining_shares(elapsed_ms)
    for cell, sums in row.cells.items():
        known = told.cells.get(cell)
        if known is None:
            return True
        remaining_weight = known.lasting_weight * remaining
        if sums.lasting_weight > MOVED_WEIGHT_FACTOR * remaining_weight:
            return True
        if abs(sums.lasting_rate / known.lasting_rate - 1.0) > MOVED_RATE:
            return True
    return False
