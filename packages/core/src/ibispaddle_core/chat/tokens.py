"""Estimate of a prompt's tokens."""

CHARACTERS_PER_TOKEN = 4


def estimate_tokens(characters: int) -> int:
    """Return the estimated tokens of a text with so many characters.

    >>> estimate_tokens(5)
    2
    """
    return -(-characters // CHARACTERS_PER_TOKEN)
