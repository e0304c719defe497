"""Stand-ins for the store, the servers and the consumers of the cases."""
