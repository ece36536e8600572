"""Errors of the orders layer."""


class OrdersError(Exception):
    """Base of the orders errors."""


class OrderRecordError(OrdersError):
    """Raise when a record of the `orders` stream cannot be read."""
