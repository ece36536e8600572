"""Tests of peer connections, the instance list reader, probes, usage and quarantine."""
