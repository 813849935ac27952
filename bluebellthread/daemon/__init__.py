"""The daemon: tasks that own sockets and state, round the core."""
