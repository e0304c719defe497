"""Benches of components; each bench module has a ``run`` that returns rows."""
