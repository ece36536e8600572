"""Exceptions raised by the orders package."""


class OrdersError(Exception):
    """Base class of order errors."""


class OrderRecordError(OrdersError):
    """A record of the `orders` stream cannot be parsed."""
