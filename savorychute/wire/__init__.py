"""Encoding of messages between instances."""
