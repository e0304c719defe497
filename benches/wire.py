"""Time to encode and decode a peer message, compared with JSON."""

from __future__ import annotations

import statistics
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from benches.bench_row import BenchRow, make_row
from savorychute.errors import SignatureError
from savorychute.wire.message_codec import MessageCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys
from savorychute.wire.schema_writer import write_schema
from savorychute.wire.signature import sign_envelope, verify_frame

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

ENTRIES = 16
CALLS = 400
FOREIGN_FRAME_BYTES = 200
NS_PER_US = 1_000
KEYS = PeerKeys(PeerKey(1, b'0123456789abcdef0123456789abcdef'))


class BenchEntry(NamedTuple):
    """What an instance reports on one endpoint."""

    endpoint: str
    tier: int
    requests: int
    tokens: int
    share: float


class BenchReport(NamedTuple):
    """A report on 16 endpoints."""

    pool: str
    entries: tuple[BenchEntry, ...]


class BenchPing(NamedTuple):
    """A message without a list."""

    sequence: int
    target: str
    offset: int


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure encoding, decoding and the refusal of foreign frames.

    :param repeats: number of measurements, of which the median is returned.
    :param rng: generates the values.
    """
    messages: dict[int, type] = {900: BenchReport, 901: BenchPing}
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, 'bench.capnp')
        path.write_text(write_schema(messages))
        codec = MessageCodec(path, messages)
    rows: list[BenchRow] = []
    for name, message in (('ping', _make_ping(rng)), ('report', _make_report(rng))):
        rows += _measure(name, message, codec, repeats)
    return [*rows, _measure_refusal(repeats)]


def _measure_refusal(repeats: int) -> BenchRow:
    """Measure the refusal of a frame that was signed with another key."""
    frame = sign_envelope(bytes(FOREIGN_FRAME_BYTES), 'a-2', PeerKey(1, b'another' * 4))

    def refuse() -> None:
        with suppress(SignatureError):
            verify_frame(frame, 'a-2', KEYS)

    def accept() -> None:
        verify_frame(accepted_frame, 'a-2', KEYS)

    accepted_frame = sign_envelope(bytes(FOREIGN_FRAME_BYTES), 'a-2', KEYS.signing)
    refuse_us = _median_us(refuse, repeats)
    return make_row(
        'wire refuse stranger', refuse_us, 'us', _median_us(accept, repeats)
    )


def _measure(
    name: str, message: Any, codec: MessageCodec, repeats: int
) -> list[BenchRow]:
    def encode() -> bytes:
        return sign_envelope(codec.encode('a-1', 1, 1, message), 'a-2', KEYS.signing)

    frame = encode()
    decoder = msgspec.json.Decoder(type(message))
    text = msgspec.json.encode(message)

    def decode() -> Any:
        return codec.decode(verify_frame(frame, 'a-2', KEYS))

    assert decode().message == message
    encode_us = _median_us(encode, repeats)
    decode_us = _median_us(decode, repeats)
    json_encode_us = _median_us(lambda: msgspec.json.encode(message), repeats)
    json_decode_us = _median_us(lambda: decoder.decode(text), repeats)
    return [
        make_row(f'wire encode {name}', encode_us, 'us', json_encode_us),
        make_row(f'wire decode {name}', decode_us, 'us', json_decode_us),
        make_row(f'wire size {name}', len(frame), 'bytes', len(text)),
    ]


def _median_us(call: Callable[[], object], repeats: int) -> float:
    """Return the median time of one call in microseconds."""
    mean_times_us = []
    for _ in range(repeats):
        start_ns = time.perf_counter_ns()
        for _ in range(CALLS):
            call()
        mean_times_us.append((time.perf_counter_ns() - start_ns) / CALLS / NS_PER_US)
    return statistics.median(mean_times_us)


def _make_ping(rng: random.Random) -> BenchPing:
    return BenchPing(rng.randrange(1 << 20), 'kochi-hall-3', rng.randrange(1 << 20))


def _make_report(rng: random.Random) -> BenchReport:
    entries = tuple(
        BenchEntry(
            f'kochi-engine-{number}',
            rng.randrange(5),
            rng.randrange(64),
            rng.randrange(100_000),
            rng.random(),
        )
        for number in range(ENTRIES)
    )
    return BenchReport('pump-diagnosis', entries)
