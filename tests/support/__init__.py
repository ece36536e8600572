"""Helpers for tests with real processes and sockets."""
