"""Exchanges state read from the store between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.store.store_answer import StoreAnswer
from savorychute.gateway.store.store_question import StoreQuestion

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.store.endpoint_journal import EndpointJournal
    from savorychute.gateway.store.endpoint_news import EndpointNews
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.store_era import StoreEra

# After this time another reader is queried; a response from another failure domain
# takes a few ms.
RESPONSE_TIMEOUT_MS = 150
# Changes that do not fit into one datagram are fetched by the next query.
MAX_CHANGES_PER_RESPONSE = 6
UNKNOWN_AGE_MS = 1 << 40
# Instances start with different readers.
MAX_FIRST_TURN = 1 << 16


class SharedReader:
    """Queries a reader periodically, and responds to the queries of other instances.

    A confirmation counts from the time when the query was sent, minus the age stated in
    the response. So a response that was delayed in the network, or was not processed
    while this process was paused, does not make state seem newer than it is.

    :param plan: determines which instances read.
    :param configuration: the applied configuration.
    :param journal: the changes of endpoints.
    :param on_changes: called with changes from other instances, in order.
    :param store_era: the newest known era of the store.
    :param max_reader_age_ms: the largest age of a reader's state; a reader with older
        state is regarded as disconnected from the store.
    :param rng: selects the first reader.
    """

    def __init__(
        self,
        plan: ReadPlan,
        configuration: ConfigurationState,
        journal: EndpointJournal,
        on_changes: Callable[[Sequence[EndpointNews], int], None],
        store_era: StoreEra,
        max_reader_age_ms: int,
        rng: random.Random,
    ) -> None:
        self._plan = plan
        self._configuration = configuration
        self._journal = journal
        self._on_changes = on_changes
        self._store_era = store_era
        self._max_reader_age_ms = max_reader_age_ms
        self._queries_since_fresh = 0
        self._sequence = 0
        self._sent_ms: dict[int, int] = {}
        self._next_ms = 0
        self._turn = rng.randrange(MAX_FIRST_TURN)

    def tick(self, now_ms: int) -> list[SendPeer]:
        """Return the query that is due, if any.

        :param now_ms: the current time.
        """
        if now_ms < self._next_ms:
            return []
        if self._plan.is_reader and not self._plan.failing_topics:
            return []
        readers = self._plan.other_readers()
        if not readers:
            return []
        # Readers take turns, so that a reader that the store has silently rejected
        # hides a change for one query only.
        self._turn += 1
        # Each reader was queried, and none has responded with fresh state. All of them
        # may be disconnected from the store without noticing, so this instance reads
        # the store itself.
        self._plan.no_fresh_reader = self._queries_since_fresh > len(readers)
        self._queries_since_fresh += 1
        reader = readers[self._turn % len(readers)]
        self._next_ms = now_ms + RESPONSE_TIMEOUT_MS
        self._sequence += 1
        self._sent_ms = {
            sequence: sent_ms
            for sequence, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms < self._plan.query_interval_ms
        }
        self._sent_ms[self._sequence] = now_ms
        query = StoreQuestion(self._sequence, self._journal.offset, self._journal.era)
        return [SendPeer(reader.instance, reader.host, reader.peer_port, query)]

    def respond(self, query: StoreQuestion, now_ms: int) -> StoreAnswer:
        """Return the state of this instance, with its age.

        :param query: the query of another instance.
        :param now_ms: the current time.
        """
        age_ms = min(self._configuration.age_ms(now_ms), UNKNOWN_AGE_MS)
        if self._plan.failing_topics:
            age_ms = UNKNOWN_AGE_MS
        changes = None
        if query.era == self._journal.era:
            changes = self._journal.changes_since(query.endpoint_offset)
        endpoint_age_ms = self._plan.endpoint_age_ms(now_ms)
        if changes is None or endpoint_age_ms is None:
            return StoreAnswer(
                query.sequence,
                self._configuration.version,
                age_ms,
                -1,
                UNKNOWN_AGE_MS,
                era=self._journal.era,
            )
        offset = self._journal.offset
        if len(changes) > MAX_CHANGES_PER_RESPONSE:
            changes = changes[:MAX_CHANGES_PER_RESPONSE]
            offset = changes[-1].offset + 1
        return StoreAnswer(
            query.sequence,
            self._configuration.version,
            age_ms,
            offset,
            endpoint_age_ms,
            changes,
            self._journal.era,
        )

    def handle_response(self, response: StoreAnswer, now_ms: int) -> None:
        """Apply the state of another instance.

        :param response: the response to a query of this instance.
        :param now_ms: the current time.
        """
        sent_ms = self._sent_ms.pop(response.sequence, None)
        if sent_ms is None:
            return
        if (
            response.configuration_age_ms > self._max_reader_age_ms
            or response.era < self._store_era.current
        ):
            # The reader is disconnected from the store, or has not noticed that the
            # store was restored from an older copy; another reader may have.
            self._next_ms = now_ms
            return
        self._store_era.record(response.era)
        self._queries_since_fresh = 0
        self._plan.no_fresh_reader = False
        self._next_ms = max(self._next_ms, sent_ms + self._plan.query_interval_ms)
        self._apply_version(response, sent_ms)
        if response.endpoint_offset < 0 or response.era != self._journal.era:
            self._plan.must_list_endpoints = True
            return
        if response.endpoint_offset < self._journal.offset:
            return
        self._on_changes(response.changes, response.endpoint_offset)
        if len(response.changes) < MAX_CHANGES_PER_RESPONSE:
            self._plan.confirm_endpoints(sent_ms - response.endpoint_age_ms)
        else:
            self._next_ms = now_ms

    def _apply_version(self, response: StoreAnswer, sent_ms: int) -> None:
        own_version = self._configuration.version
        if response.configuration_version > own_version:
            self._plan.announced_version = response.configuration_version
        elif response.configuration_version == own_version:
            self._configuration.confirm(sent_ms - response.configuration_age_ms)
