"""Runs days with an external program, the bench.

A day is a scenario file with one kind of fault, or several that overlap.
"""
