"""Benchmarks of components; each benchmark module has a ``run`` that returns rows."""
