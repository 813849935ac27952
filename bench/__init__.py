"""The load tool: real daemons and stand-in engines on loopback."""
