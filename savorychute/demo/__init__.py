"""A demonstration: a small site on loopback with the usual faults, within a minute."""
