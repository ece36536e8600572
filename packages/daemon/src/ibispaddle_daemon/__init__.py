"""The ibispaddle instance: sockets and timers around the core."""
