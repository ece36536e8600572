"""Command line of the operators of ibispaddle."""
