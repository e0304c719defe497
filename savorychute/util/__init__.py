"""Small helpers used by several packages."""
