"""What a gateway keeps in, and learns from, the platform's store."""
