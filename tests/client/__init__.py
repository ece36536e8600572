"""Tests of the operators' client."""
