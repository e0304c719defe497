"""Routes, services and organisations, and which version of them is in force."""
