"""Messages between instances as bytes."""
