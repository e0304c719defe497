"""Which instances callers are told to use."""
