"""Configuration of routes, services and organisations, and the version in force."""
