"""A caller's request and the check of its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.client import CallError, ChatCall, ServiceCall
from savorychute.clock import SystemClock
from savorychute.demo.documents import MODEL
from savorychute.endpoints.chat_documents import ChatMessage
from savorychute.ran import Ran
from savorychute.testing.answers import count_answer_tokens, write_answer
from savorychute.testing.markers import write_marker
from savorychute.testing.plain_service import ServiceRequest, write_service_answer

if TYPE_CHECKING:
    from savorychute.client import Client
    from savorychute.demo.class_tally import ClassTally
    from savorychute.demo.demo_class import DemoClass
    from savorychute.demo.tally import Tally

FILLER = 'the pump lost pressure at noon and the crew waits for a part; '
FILLER_REPEATS = 6


class Caller:
    """Makes one call and counts its outcome.

    :param client: the client of the class's organisation.
    :param demo_class: the class of the call.
    :param call_id: identifies the call in its body.
    :param tokens: the requested length of a model's response.
    """

    def __init__(
        self, client: Client, demo_class: DemoClass, call_id: str, tokens: int
    ) -> None:
        self._client = client
        self._demo_class = demo_class
        self._call_id = call_id
        self._tokens = tokens
        self._clock = SystemClock()

    async def run(self, tally: Tally) -> None:
        """Make the call.

        :param tally: counts the outcome.
        """
        counts = tally.classes[tally.get_class_name(self._demo_class)]
        call_class = self._demo_class.call_class
        try:
            if call_class.service:
                await self._call_service(counts)
            elif call_class.stream:
                await self._stream(counts)
            else:
                await self._complete(counts)
        except CallError as error:
            if error.ran is Ran.NOT_RUN:
                counts.refused += 1
            elif call_class.idempotent:
                counts.lost += 1
            else:
                counts.unknown += 1
            tally.refusals[error.code.name] += 1
        counts.calls += 1

    async def _stream(self, counts: ClassTally) -> None:
        started_ms = self._clock.now_ms()
        first_ms = 0
        texts = []
        prompt = self._write_prompt()
        async for part in self._client.stream(self._make_call(prompt)):
            first_ms = first_ms or self._clock.now_ms()
            texts.append(part.text)
        ended_ms = self._clock.now_ms()
        expected = write_answer(prompt, 0)
        if ''.join(texts) != expected:
            counts.truncated += 1
            return
        token_count = count_answer_tokens(prompt, 0)
        gap_ms = (ended_ms - first_ms) / max(1, token_count - 1)
        call_class = self._demo_class.call_class
        in_time = first_ms - started_ms <= call_class.first_token_target_ms
        gap_in_time = gap_ms <= call_class.token_gap_target_ms
        self._count_response(counts, token_count, in_time and gap_in_time)

    async def _complete(self, counts: ClassTally) -> None:
        prompt = self._write_prompt()
        started_ms = self._clock.now_ms()
        response = await self._client.complete(self._make_call(prompt))
        if write_answer(prompt, 0).strip() not in response.body.decode():
            counts.truncated += 1
            return
        self._count_timed_response(counts, started_ms, count_answer_tokens(prompt, 0))

    async def _call_service(self, counts: ClassTally) -> None:
        call_class = self._demo_class.call_class
        path = f'/{call_class.name}'
        body = f'{{"entry":"{write_marker(self._call_id)}"}}'.encode()
        started_ms = self._clock.now_ms()
        response = await self._client.call_service(
            ServiceCall(
                service=call_class.service,
                method='POST',
                path=path,
                class_name=call_class.name,
                body=body,
                idempotent=call_class.idempotent,
                timeout_ms=call_class.timeout_ms,
            )
        )
        expected = write_service_answer(ServiceRequest('', 'POST', path, body))
        if response.body != expected:
            counts.truncated += 1
            return
        self._count_timed_response(counts, started_ms, 0)

    def _count_timed_response(
        self, counts: ClassTally, started_ms: int, tokens: int
    ) -> None:
        response_ms = self._clock.now_ms() - started_ms
        target_ms = self._demo_class.call_class.first_token_target_ms
        self._count_response(counts, tokens, response_ms <= target_ms)

    def _count_response(self, counts: ClassTally, tokens: int, in_time: bool) -> None:
        counts.answered += 1
        counts.answered_tokens += tokens
        counts.attained += in_time

    def _make_call(self, prompt: str) -> ChatCall:
        call_class = self._demo_class.call_class
        return ChatCall(
            model=MODEL,
            messages=(ChatMessage(role='user', content=prompt),),
            class_name=call_class.name,
            idempotent=call_class.idempotent,
            timeout_ms=call_class.timeout_ms,
        )

    def _write_prompt(self) -> str:
        filler = FILLER * FILLER_REPEATS
        name = self._demo_class.call_class.name
        return f'{name}: {filler}{write_marker(self._call_id)} #tokens={self._tokens}'
