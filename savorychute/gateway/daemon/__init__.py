"""Connects the parts of a gateway to sockets, timers and signals."""
