"""Tests for rendering and hashing of prompts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.endpoints.prompt_blocks import (
    BLOCK_CHARS,
    MAX_BLOCKS,
    hash_prefixes,
    render_messages,
)
from savorychute.testing.prompt_blocks import hash_blocks


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.text(max_size=2_000))
def test_hashes_equal_those_of_the_simulated_engine(prompt):
    assert hash_prefixes(prompt) == hash_blocks(prompt)


def test_hash_covers_all_blocks_before_it():
    first, second = hash_prefixes('a' * BLOCK_CHARS + 'b' * BLOCK_CHARS)
    other = hash_prefixes('c' * BLOCK_CHARS + 'b' * BLOCK_CHARS)

    assert first == hash_prefixes('a' * BLOCK_CHARS)[0]
    assert second != other[1]


def test_hashes_are_bounded():
    assert len(hash_prefixes('a' * BLOCK_CHARS * 500)) == MAX_BLOCKS


def test_lone_surrogate_and_missing_content_are_rendered():
    messages = [{'role': 'user', 'content': '\ud800'}, {'role': 'tool'}]

    assert render_messages(messages) == '\ud800\n'
    assert hash_prefixes('\ud800' * BLOCK_CHARS)
