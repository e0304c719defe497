"""Leases kept in the log, and the fenced orders sent under them."""
