"""Scenarios that come with the package."""
