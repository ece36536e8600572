"""Tests of the chat-completions protocol."""
