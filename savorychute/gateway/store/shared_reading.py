"""Questions and answers between instances on what the store holds."""

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
    from savorychute.gateway.store.reading_plan import ReadingPlan
    from savorychute.gateway.store.store_era import StoreEra

# Then another reader is asked; between failure domains an answer takes a few ms.
ANSWER_MS = 150
# A change that does not fit into one datagram is fetched by the next question.
CHANGES_PER_ANSWER = 6
NEVER_AGE_MS = 1 << 40
# Instances begin with different readers.
TURNS = 1 << 16


class SharedReading:
    """Asks a reader now and then, and answers others.

    A confirmation counts from the moment at which the question was sent, less the age
    that the answer states.  So an answer that was under way for long, or lay unread
    while this process was paused, makes nothing seem younger than it is.

    :param plan: who reads.
    :param configuration: what is in force here.
    :param journal: changes of endpoints.
    :param on_changes: is given changes from others, in order.
    :param eras: the newest era that is known of the store.
    :param vouch_ms: how old a reader's knowledge may be; an older one is cut off.
    :param rng: picks the first reader.
    """

    def __init__(
        self,
        plan: ReadingPlan,
        configuration: ConfigurationState,
        journal: EndpointJournal,
        on_changes: Callable[[Sequence[EndpointNews], int], None],
        eras: StoreEra,
        vouch_ms: int,
        rng: random.Random,
    ) -> None:
        self._plan = plan
        self._configuration = configuration
        self._journal = journal
        self._on_changes = on_changes
        self._eras = eras
        self._vouch_ms = vouch_ms
        self._unvouched = 0
        self._sequence = 0
        self._asked: dict[int, int] = {}
        self._next_ms = 0
        self._turn = rng.randrange(TURNS)

    def tick(self, now_ms: int) -> list[SendPeer]:
        """Return the question that is due, if one is.

        :param now_ms: the time.
        """
        if now_ms < self._next_ms:
            return []
        if self._plan.is_reader and not self._plan.failing_topics:
            return []
        readers = self._plan.other_readers()
        if not readers:
            return []
        # In turn, so that one that the store has turned away without a word hides a
        # change for one question only.
        self._turn += 1
        # Each reader was asked, and none has answered with fresh knowledge: all may be
        # cut off from the store, without a word.  Then this instance reads by itself.
        self._plan.nobody_vouches = self._unvouched > len(readers)
        self._unvouched += 1
        reader = readers[self._turn % len(readers)]
        self._next_ms = now_ms + ANSWER_MS
        self._sequence += 1
        self._asked = {
            sequence: asked_ms
            for sequence, asked_ms in self._asked.items()
            if now_ms - asked_ms < self._plan.ask_ms
        }
        self._asked[self._sequence] = now_ms
        question = StoreQuestion(
            self._sequence, self._journal.offset, self._journal.era
        )
        return [SendPeer(reader.instance, reader.host, reader.peer_port, question)]

    def answer(self, question: StoreQuestion, now_ms: int) -> StoreAnswer:
        """Return what this instance knows, with its age.

        :param question: of another instance.
        :param now_ms: the time.
        """
        age_ms = min(self._configuration.age_ms(now_ms), NEVER_AGE_MS)
        if self._plan.failing_topics:
            age_ms = NEVER_AGE_MS
        changes = None
        if question.era == self._journal.era:
            changes = self._journal.since(question.endpoint_offset)
        endpoint_age_ms = self._plan.endpoint_age_ms(now_ms)
        if changes is None or endpoint_age_ms is None:
            return StoreAnswer(
                question.sequence,
                self._configuration.version,
                age_ms,
                -1,
                NEVER_AGE_MS,
                era=self._journal.era,
            )
        offset = self._journal.offset
        if len(changes) > CHANGES_PER_ANSWER:
            changes = changes[:CHANGES_PER_ANSWER]
            offset = changes[-1].offset + 1
        return StoreAnswer(
            question.sequence,
            self._configuration.version,
            age_ms,
            offset,
            endpoint_age_ms,
            changes,
            self._journal.era,
        )

    def take_answer(self, answer: StoreAnswer, now_ms: int) -> None:
        """Take in what another instance knows.

        :param answer: to a question of this instance.
        :param now_ms: the time.
        """
        asked_ms = self._asked.pop(answer.sequence, None)
        if asked_ms is None:
            return
        if (
            answer.configuration_age_ms > self._vouch_ms
            or answer.era < self._eras.current
        ):
            # The reader is cut off, or has not noticed that the store went back to an older
            # copy; another one may have.
            self._next_ms = now_ms
            return
        self._eras.note(answer.era)
        self._unvouched = 0
        self._plan.nobody_vouches = False
        self._next_ms = max(self._next_ms, asked_ms + self._plan.ask_ms)
        self._take_version(answer, asked_ms)
        if answer.endpoint_offset < 0 or answer.era != self._journal.era:
            self._plan.must_list_endpoints = True
            return
        if answer.endpoint_offset < self._journal.offset:
            return
        self._on_changes(answer.changes, answer.endpoint_offset)
        if len(answer.changes) < CHANGES_PER_ANSWER:
            self._plan.endpoints_confirmed(asked_ms - answer.endpoint_age_ms)
        else:
            self._next_ms = now_ms

    def _take_version(self, answer: StoreAnswer, asked_ms: int) -> None:
        own_version = self._configuration.version
        if answer.configuration_version > own_version:
            self._plan.wanted_version = answer.configuration_version
        elif answer.configuration_version == own_version:
            self._configuration.confirm(asked_ms - answer.configuration_age_ms)
