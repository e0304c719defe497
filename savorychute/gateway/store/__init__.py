"""State that a gateway keeps in the platform's store, or reads from it."""
