"""Contracts of organisations, and the limits derived from them."""
