"""Admission, fair queueing, placement, deadlines, retries and large prompts."""
