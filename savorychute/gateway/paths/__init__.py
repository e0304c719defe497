"""Paths to endpoints: direct connections, and tunnels through other instances."""
