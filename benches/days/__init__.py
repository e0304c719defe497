"""Runs days, scenario files with one kind of fault or several that overlap."""
