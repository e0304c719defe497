"""Handling of one request, from its arrival to its response."""
