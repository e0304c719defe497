"""Finds out what requests that crash endpoints have in common, and refuses it."""
