"""Stand-ins for endpoints and the platform, and simulations of whole systems."""
