"""Leases in the log, and the fenced orders that they permit."""
