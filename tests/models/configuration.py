"""Model of the configuration protocol: two operators, readers, snapshots and retention.

The model runs `ConfigReader` of the core. A snapshot is taken at one time and appended at any later
time, as by an instance that was paused in between.
"""

import json
from dataclasses import replace
from functools import cache
from typing import NamedTuple

from ibispaddle_core.configuration import Change, ConfigReader, ConfigState, LogRecord, fold
from minicheck import Protocol


class View(NamedTuple):
    """What one reader knows, in a hashable form."""

    state: str = ""  # The snapshot record of its state.
    position: int = 0
    block_start: int = 0
    unfolded: tuple[int, ...] = ()
    pages: int = 0
    highest: int = -1  # Highest revision it has served.


class World(NamedTuple):
    log: tuple[str, ...] = ()
    first_offset: int = 0
    readers: tuple[View, ...] = (View(), View())
    flying: tuple[str, ...] = ()  # Appends under way.
    changes: int = 0
    snapshots: int = 0


def record(log, offset):
    return LogRecord(offset, offset, json.loads(log[offset]))


def state_of(text):
    return ConfigState.from_record(json.loads(text)) if text else None


@cache
def full_state(log):
    """Return the snapshot record of the state after the whole log."""
    state = ConfigState()
    for offset in range(len(log)):
        state, _ = fold(state, record(log, offset))
    return json.dumps(state.to_record(), sort_keys=True)


@cache
def read(reader_type, view, log, first_offset):
    """Return the view after the next record, or after an empty page."""
    reader = reader_type()
    reader.state = state_of(view.state)
    reader.position, reader._block_start = view.position, view.block_start
    reader._unfolded = [record(log, offset) for offset in view.unfolded]
    reader._pages_read = view.pages
    start = max(view.position, first_offset)
    reader.read_page(first_offset, [record(log, n) for n in range(start, len(log))][:1])
    return view_of(reader, view.highest)


def view_of(reader, highest):
    state = reader.state
    return View(
        json.dumps(state.to_record(), sort_keys=True) if state else "",
        reader.position,
        reader._block_start,
        tuple(record.offset for record in reader._unfolded),
        min(1, reader._pages_read),
        max(highest, state.revision if state else -1),
    )


class ConfigModel:
    """Build the protocol; another reader takes a mechanism out."""

    def __init__(self, reader_type=ConfigReader, changes=3, snapshots=2):
        self.reader_type = reader_type
        self.changes = changes
        self.snapshots = snapshots

    def protocol(self, *names):
        """Return the protocol with the named invariants, or with all."""
        protocol = self.full_protocol()
        kept = {name: protocol.invariants[name] for name in names or protocol.invariants}
        return replace(protocol, invariants=kept)

    def full_protocol(self):
        return Protocol(
            name="configuration",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda state: [(n, (w,)) for n, w in self.transitions(state[0])],
            invariants={
                "readers_agree": lambda d: all(
                    self.agrees(d["world"], view) for view in d["world"].readers
                ),
                "revisions_never_go_back": lambda d: all(
                    not view.state or state_of(view.state).revision >= view.highest
                    for view in d["world"].readers
                ),
            },
        )

    def agrees(self, world, view):
        state = state_of(view.state)
        return state is None or view.state == full_state(world.log[: state.as_of + 1])

    def transitions(self, world):
        for number, view in enumerate(world.readers):
            after = read(self.reader_type, view, world.log, world.first_offset)
            if after != view:
                yield f"reader {number} reads", self.put(world, number, after)
            if not view.state:
                continue
            state = state_of(view.state)
            if world.changes < self.changes:
                name = f"c{world.changes}"
                document = {"n": world.changes}
                change = Change(name, state.revision, "base", document, f"o{number}")
                text = json.dumps(change.to_record(), sort_keys=True)
                flying = tuple(sorted((*world.flying, text)))
                changed = world._replace(flying=flying, changes=world.changes + 1)
                yield f"operator {number} appends {name}", changed
            if world.snapshots < self.snapshots and state.as_of >= 0:
                flying = tuple(sorted((*world.flying, view.state)))
                taken = world._replace(flying=flying, snapshots=world.snapshots + 1)
                yield f"reader {number} takes a snapshot of {state.as_of}", taken
        for text in sorted(set(world.flying)):
            flying = list(world.flying)
            flying.remove(text)
            arrived = world._replace(flying=tuple(flying), log=(*world.log, text))
            yield f"record {len(world.log)} arrives", arrived
        if world.first_offset < len(world.log):
            yield "retention cuts", world._replace(first_offset=world.first_offset + 1)

    @staticmethod
    def put(world, number, view):
        readers = world.readers[:number] + (view,) + world.readers[number + 1 :]
        return world._replace(readers=readers)
