"""The daemon: tasks that own the sockets and drive the core's logic."""
