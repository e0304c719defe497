"""Sockets, timers and signals around the parts of a gateway."""
