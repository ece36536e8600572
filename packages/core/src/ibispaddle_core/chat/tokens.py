"""Estimation of the number of tokens in a prompt."""

CHARACTERS_PER_TOKEN = 4


def estimate_tokens(characters: int) -> int:
    """Return the estimated number of tokens in a text of the given length.

    >>> estimate_tokens(5)
    2
    """
    return -(-characters // CHARACTERS_PER_TOKEN)
