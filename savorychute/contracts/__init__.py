"""Contracts of organisations, and the limits that follow from them."""
