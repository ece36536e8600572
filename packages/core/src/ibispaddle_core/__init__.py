"""Core logic of ibispaddle; performs no I/O."""
