"""Estimate of a prompt's tokens."""

CHARS_PER_TOKEN_ESTIMATE = 4


def estimate_tokens(characters: int) -> int:
    """Return the estimated tokens of a text with so many characters.

    >>> estimate_tokens(5)
    2
    """
    return -(-characters // CHARS_PER_TOKEN_ESTIMATE)
