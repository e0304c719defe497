"""Discovery: chooses the instances that callers should use."""
