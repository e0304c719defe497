"""One measurement per role of an instance."""
