"""Tests of the package or module of the same name."""
