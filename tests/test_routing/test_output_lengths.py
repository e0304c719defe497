"""Tests of learned output lengths."""

from __future__ import annotations

import random

import pytest

from savorychute.routing import LengthSettings, OutputLengths


@pytest.mark.parametrize('share', [0.1, 0.5, 0.9])
def test_quantile_is_within_a_bucket(share):
    rng = random.Random(5)
    lengths = OutputLengths(LengthSettings())
    observed = [int(rng.lognormvariate(5, 0.8)) for _ in range(2_000)]
    for tokens in observed:
        lengths.observe('idukki-pumps', 'diagnosis', tokens)

    expected = sorted(observed)[int(share * len(observed))]
    estimated = lengths.expect('idukki-pumps', 'diagnosis', 0, share)
    assert expected / 1.7 < estimated < expected * 1.7


def test_unknown_class_uses_the_lengths_of_all_classes():
    lengths = OutputLengths(LengthSettings(output_tokens=128))
    assert lengths.expect('a', 'new', 0) == 128
    for _ in range(20):
        lengths.observe('a', 'known', 1_000)
    assert 800 < lengths.expect('a', 'new', 0) < 1_250


def test_max_tokens_limits_the_expected_length():
    assert OutputLengths(LengthSettings()).expect('a', 'b', 16) == 16


def test_estimate_follows_changing_lengths():
    lengths = OutputLengths(LengthSettings())
    for _ in range(500):
        lengths.observe('a', 'b', 1_000)
    for _ in range(500):
        lengths.observe('a', 'b', 50)
    assert 40 < lengths.expect('a', 'b', 0) < 70


def test_number_of_classes_is_bounded():
    lengths = OutputLengths(LengthSettings(classes=10))
    for number in range(50):
        lengths.observe('a', f'class-{number}', 10)
    assert len(lengths) == 10
