"""Support of tests with real processes."""
