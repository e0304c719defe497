"""Streams that go on at another engine when their own one leaves."""
