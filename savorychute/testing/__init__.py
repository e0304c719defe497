"""Stand-ins for endpoints and platform, and what drives whole systems of them."""
