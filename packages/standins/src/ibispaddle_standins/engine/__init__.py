"""Model engine: continuous batching, limited KV memory, prefix cache, cancel, resume and orders."""
