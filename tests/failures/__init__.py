"""Tests of the guarantees that hold under failures, with real processes."""
