"""Tests of the stand-ins' faults and counters, on which other tests depend."""
