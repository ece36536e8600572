"""Tests of the launcher, the callers and the load tools."""
