"""Stand-in for a model engine.

It simulates continuous batching, limited KV memory and a prefix cache, and supports cancel, resume
and orders.
"""
