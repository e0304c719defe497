"""Which software version began each stream, so that it goes on at no other one."""
