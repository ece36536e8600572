"""Tests that the documentation agrees with the code."""
