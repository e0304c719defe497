"""The settings of a gateway."""
