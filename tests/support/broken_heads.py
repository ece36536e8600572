"""Heads of responses that are not valid HTTP/1.1.

A test adds the header lines that it needs, an empty line, and a body that ends with the connection, so
that the response would be complete if its head were accepted.
"""

# Outside of the range of valid status codes, 100 to 599, or not of three digits.
INVALID_STATUS_HEADS = tuple(
    b"HTTP/1.1 " + status + b" X\r\n"
    for status in (b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"-20", b"2 0")
)
FOREIGN_VERSION_HEADS = tuple(
    version + b" 200 OK\r\n"
    for version in (b"HTTP/2.0", b"HTTP/0.9", b"HTTP/11", b"HTTP/1.1.1", b"HTTPS/1.1")
)
# A blank or a control byte in a field name. A line that begins with a blank continues the field before.
INVALID_FIELD_HEADS = tuple(
    b"HTTP/1.1 200 OK\r\nX-First: a\r\n" + line + b"\r\n"
    for line in (
        b"Bad Name: a",
        b"Bad\tName: a",
        b"Bad\x01Name: a",
        b"Bad\x00Name: a",
        b"Bad\x7fName: a",
        b"Bad\rName: a",
        b"\x0bName: a",
        b"X-Blank : a",
        b"Content-Length : 1",
        b"Content-Length\t: 1",
        b"Transfer-Encoding : chunked",
        b"Transfer-Encoding\x00: chunked",
        b" X-Leading: a",
        b" Content-Length: 1",
        b" Transfer-Encoding: chunked",
        b"\tTransfer-Encoding: chunked",
    )
)
BROKEN_HEADS = INVALID_STATUS_HEADS + FOREIGN_VERSION_HEADS + INVALID_FIELD_HEADS
