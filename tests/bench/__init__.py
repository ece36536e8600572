"""Tests of the bench package: fleets, callers, load generator and engine models."""
