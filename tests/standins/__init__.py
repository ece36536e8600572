"""Tests of the stand-ins: other tests rely on their faults and counters."""
