"""The course of one request, from its arrival to its answer."""
