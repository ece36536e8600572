"""Decisions of ibispaddle, free of input and output."""
