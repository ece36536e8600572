"""Delegation of requests by an instance that reaches no upstream to one that does."""
