"""Days of trouble, one kind or several that overlap, and what plays them."""
