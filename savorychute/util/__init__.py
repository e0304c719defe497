"""Small helpers without a part of their own."""
