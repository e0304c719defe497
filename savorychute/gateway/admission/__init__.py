"""When an engine is too full for a request."""
