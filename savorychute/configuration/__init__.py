"""The configuration: a fold over the platform's log, spread between instances."""
