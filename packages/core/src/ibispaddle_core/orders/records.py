"""Records of the `orders` stream."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec
from result import Err, Ok, Result

from .exceptions import OrderRecordError


class Action(StrEnum):
    """Action that an order requests from a runner."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


# Name of the only argument of each action.
ACTION_ARGUMENTS = {
    Action.LOAD_MODEL: "model",
    Action.LOAD_ADAPTER: "adapter",
    Action.SET_ROLE: "role",
}


class Order(msgspec.Struct, frozen=True):
    """An order that requests a state of one runner."""

    order_id: str
    upstream_id: str
    action: Action
    args: dict[str, str]
    author: str = ""

    @property
    def value(self) -> str:
        """Return the requested model, adapter or role."""
        return self.args[ACTION_ARGUMENTS[self.action]]


@dataclass(frozen=True)
class Executor:
    """A process of an instance that sends orders."""

    instance_id: str
    boot: int


class _Takeover(msgspec.Struct):
    upstream_id: str
    executor: str
    boot: int


@dataclass(frozen=True)
class Takeover:
    """Makes a process the only sender of an upstream's orders."""

    upstream_id: str
    executor: Executor


def order_record(order: Order) -> dict[str, Any]:
    """Return the record of an order."""
    record: dict[str, Any] = msgspec.to_builtins(order)
    return record


def takeover_record(takeover: Takeover) -> dict[str, Any]:
    """Return the record of a takeover."""
    executor = takeover.executor
    fields = {"executor": executor.instance_id, "boot": executor.boot}
    return {"takeover": {"upstream_id": takeover.upstream_id} | fields}


def parse_record(data: Mapping[str, Any]) -> Result[Order | Takeover, OrderRecordError]:
    """Parse a record of the stream."""
    try:
        if "takeover" in data:
            fields = msgspec.convert(data["takeover"], _Takeover)
            return Ok(Takeover(fields.upstream_id, Executor(fields.executor, fields.boot)))
        order = msgspec.convert(data, Order)
    except msgspec.ValidationError as exc:
        return Err(OrderRecordError(str(exc)))
    if set(order.args) != {ACTION_ARGUMENTS[order.action]}:
        return Err(
            OrderRecordError(f"'{order.action}' requires '{ACTION_ARGUMENTS[order.action]}'")
        )
    return Ok(order)
