"""Tests of the peer connections, the list reader and the probes."""
