"""Errors of decoders, and addresses in decoded data."""

import ipaddress

import msgspec

# Raised when data of others is decoded. Deeply nested data exceeds the interpreter's recursion limit.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def is_endpoint(text: str) -> bool:
    """Return whether a text is an IP address and a port to which a connection can be opened.

    >>> is_endpoint("10.0.0.1:8080"), is_endpoint("[::1]:8080")
    (True, True)
    >>> is_endpoint("10.0.0.1:80800"), is_endpoint("example.com:80"), is_endpoint("10.0.0.1")
    (False, False, False)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT
