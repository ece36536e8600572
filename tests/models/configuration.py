"""Model of the configuration protocol: two operators, readers, snapshots and retention.

The model uses the production code of `ConfigReader`. A snapshot can be appended at any time after
it was taken, as by an instance that was paused in between.
"""

import json
from dataclasses import replace
from functools import cache
from typing import NamedTuple

from ibispaddle_core.configuration import Change, ConfigReader, ConfigState, LogRecord, fold
from minicheck import Protocol


class ReaderView(NamedTuple):
    """State of a reader in hashable form."""

    state: str = ""  # The snapshot record of its state.
    position: int = 0
    block_start: int = 0
    unfolded: tuple[int, ...] = ()
    pages: int = 0
    highest: int = -1  # Highest revision that the reader has served.


class SystemState(NamedTuple):
    log: tuple[str, ...] = ()
    first_offset: int = 0
    readers: tuple[ReaderView, ...] = (ReaderView(), ReaderView())
    in_flight: tuple[str, ...] = ()  # Records being appended.
    changes: int = 0
    snapshots: int = 0


def record(log, offset):
    return LogRecord(offset, offset, json.loads(log[offset]))


def state_of(text):
    return ConfigState.from_record(json.loads(text)) if text else None


@cache
def full_state(log):
    """Return the snapshot record of the state after all records of a log."""
    state = ConfigState()
    for offset in range(len(log)):
        state, _ = fold(state, record(log, offset))
    return json.dumps(state.to_record(), sort_keys=True)


@cache
def read(reader_type, view, log, first_offset):
    """Return the view after reading the next record, or an empty page."""
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
    return ReaderView(
        json.dumps(state.to_record(), sort_keys=True) if state else "",
        reader.position,
        reader._block_start,
        tuple(record.offset for record in reader._unfolded),
        min(1, reader._pages_read),
        max(highest, state.revision if state else -1),
    )


class ConfigModel:
    """Builds the protocol; a different `reader_type` selects a variant that lacks a mechanism."""

    def __init__(self, reader_type=ConfigReader, changes=3, snapshots=2):
        self.reader_type = reader_type
        self.changes = changes
        self.snapshots = snapshots

    def protocol(self, *names):
        """Return the protocol with the named invariants, by default with all."""
        protocol = self.full_protocol()
        kept = {name: protocol.invariants[name] for name in names or protocol.invariants}
        return replace(protocol, invariants=kept)

    def full_protocol(self):
        return Protocol(
            name="configuration",
            candidate=False,
            fields=("system",),
            initial=(SystemState(),),
            transitions=lambda state: [(n, (w,)) for n, w in self.transitions(state[0])],
            invariants={
                "readers_agree": lambda d: all(
                    self.agrees(d["system"], view) for view in d["system"].readers
                ),
                "revisions_never_go_back": lambda d: all(
                    not view.state or state_of(view.state).revision >= view.highest
                    for view in d["system"].readers
                ),
            },
        )

    def agrees(self, system, view):
        state = state_of(view.state)
        return state is None or view.state == full_state(system.log[: state.as_of + 1])

    def transitions(self, system):
        for number, view in enumerate(system.readers):
            after = read(self.reader_type, view, system.log, system.first_offset)
            if after != view:
                yield f"reader {number} reads", self.replace_reader(system, number, after)
            if not view.state:
                continue
            state = state_of(view.state)
            if system.changes < self.changes:
                name = f"c{system.changes}"
                document = {"n": system.changes}
                change = Change(name, state.revision, "base", document, f"o{number}")
                text = json.dumps(change.to_record(), sort_keys=True)
                in_flight = tuple(sorted((*system.in_flight, text)))
                changed = system._replace(in_flight=in_flight, changes=system.changes + 1)
                yield f"operator {number} appends {name}", changed
            if system.snapshots < self.snapshots and state.as_of >= 0:
                in_flight = tuple(sorted((*system.in_flight, view.state)))
                taken = system._replace(in_flight=in_flight, snapshots=system.snapshots + 1)
                yield f"reader {number} takes a snapshot of {state.as_of}", taken
        for text in sorted(set(system.in_flight)):
            in_flight = list(system.in_flight)
            in_flight.remove(text)
            arrived = system._replace(in_flight=tuple(in_flight), log=(*system.log, text))
            yield f"record {len(system.log)} arrives", arrived
        if system.first_offset < len(system.log):
            yield "retention drops a record", system._replace(first_offset=system.first_offset + 1)

    @staticmethod
    def replace_reader(system, number, view):
        readers = system.readers[:number] + (view,) + system.readers[number + 1 :]
        return system._replace(readers=readers)
