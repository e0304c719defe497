"""Scenarios of the package."""
