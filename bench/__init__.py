"""Load tests: real daemons and simulated engines on loopback addresses."""
