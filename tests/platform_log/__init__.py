"""Tests of the client of the platform's log."""
