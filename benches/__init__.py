"""Measurements of parts; each module has a ``run`` that returns rows."""
