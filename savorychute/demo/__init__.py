"""A demonstration: a small site on loopback, and a day's troubles in a minute."""
