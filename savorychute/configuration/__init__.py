"""The configuration: a fold over the platform's log, replicated by all instances."""
