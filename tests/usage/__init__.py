"""Tests of the usage package."""
