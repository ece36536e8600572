"""Model of the claim protocol for one key: all interleavings of copies, appends and crashes.

The model uses the production code: `ClaimTable` applies the log, and `transition` is the transition
function of the sessions. Pauses are not modelled explicitly, because any step of a copy can be
delayed arbitrarily. A log outage is a period without completed appends; the step `refuse` models a
refused append.
"""

from dataclasses import replace
from functools import cache
from typing import NamedTuple

from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import (
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    CallCompleted,
    CallNotSent,
    Claim,
    ClaimLost,
    ClaimRefused,
    ClaimTable,
    ClaimWon,
    DeadlinePassed,
    Freed,
    KeyFreed,
    KeySettled,
    Lost,
    Outcome,
    Refuse,
    Release,
    Replay,
    Send,
    Session,
    Settled,
    Settlement,
    State,
    Won,
    batch_record,
    transition,
)
from ibispaddle_core.runstate import RunState
from minicheck import Protocol

KEY = "k"
T0 = 1_700_000_000_000


class Copy(NamedTuple):
    """A copy of the call; each copy is sent to a different instance."""

    session: Session | None = None
    position: int = 0  # Number of records read.
    sends: int = 0  # `Send` decisions that have not been executed.
    runs: int = 0
    answer: str = ""
    crashed: bool = False
    expired: bool = False  # The deadline has passed.
    # Committers to which the current claim was sent, once for each time, without certain refusals.
    asked: tuple[int, ...] = ()
    refused: tuple[int, ...] = ()  # Committers that have refused the current claim.


class SystemState(NamedTuple):
    copies: tuple[Copy, ...]
    log: tuple = ()  # Entries in the log.
    in_flight: tuple = ()  # Entries being appended; they reach the log in any order or never.
    repeats: int = 0


def build_table(table_type, log):
    """Return the table for a log, and the events of the last record."""
    table = table_type(3_600_000, 86_400_000)
    table.read_page(0, [], T0)
    events = []
    for offset, entry in enumerate(log):
        record = LogRecord(offset, T0, batch_record("b", [entry]))
        events = table.read_page(0, [record], T0)
    return table, tuple(events)


@cache
def last_events(table_type, log):
    """Return the events of the last record of a log, and the entry of the key."""
    table, events = build_table(table_type, log)
    return events, table.get(KEY)


@cache
def table_after(table_type, log):
    """Return the cached table for a log; callers must not modify it."""
    return build_table(table_type, log)[0]


def new_session(number):
    return Session(f"i{number}", KEY, "r", T0, deadline_ms=1)


class ClaimsModel:
    """Builds the protocol; the options select variants that lack a mechanism."""

    def __init__(
        self,
        copies=2,
        table_type=ClaimTable,
        step=transition,
        max_attempts=1,  # Further claims of a copy after the first.
        max_repeats=1,  # Repeated appends after a lost response.
        crashes=True,
        batch_reads=False,  # Copies read all new records in one step; reduces the state space.
        expiring=3,  # Number of copies whose deadline can pass.
        leases=False,  # A waiting copy can release the first claim.
    ):
        self.copies = copies
        self.max_repeats = max_repeats
        self.crashes = crashes
        self.batch_reads = batch_reads
        self.expiring = expiring
        self.leases = leases
        self.table_type = table_type
        self.step = step
        self.max_attempts = max_attempts

    def protocol(self, *names):
        """Return the protocol with the named invariants, by default all that are guaranteed."""
        protocol = self.full_protocol()
        names = names or tuple(n for n in protocol.invariants if n != "not_run_holds_for_the_key")
        kept = {name: protocol.invariants[name] for name in names}
        return replace(protocol, invariants=kept)

    def full_protocol(self):
        return Protocol(
            name="claims",
            candidate=False,
            fields=("system",),
            initial=(self.initial(),),
            transitions=lambda state: [(n, (w,)) for n, w in self.transitions(state[0])],
            invariants={
                "at_most_one_run": lambda d: sum(c.runs for c in d["system"].copies) <= 1,
                "not_run_is_true": lambda d: all(
                    not (c.answer == "not_run" and (c.runs or c.sends)) for c in d["system"].copies
                ),
                # Not guaranteed: a copy can be refused during an outage after another copy has run.
                "not_run_holds_for_the_key": lambda d: not (
                    any(c.answer == "not_run" for c in d["system"].copies)
                    and any(c.runs and c.answer != "not_run" for c in d["system"].copies)
                    and all(c.session is not None for c in d["system"].copies)
                ),
                "replay_follows_a_run": lambda d: not any(
                    c.answer == "replay" for c in d["system"].copies
                )
                or any(c.runs for c in d["system"].copies),
                "key_is_not_blocked": lambda d: not self.is_blocked(d["system"]),
            },
        )

    def initial(self):
        return SystemState((Copy(),) * self.copies)

    def is_blocked(self, system):
        """Return whether the first claim belongs to a copy that is done and did not run."""
        if system.in_flight or any(copy.crashed for copy in system.copies):
            return False
        _, entry = last_events(self.table_type, system.log) if system.log else ((), None)
        if entry is None or entry.holder is None or entry.outcome is not None:
            return False
        copy = system.copies[int(entry.holder[1])]
        done = copy.session is not None and copy.session.state is State.DONE
        return done and not copy.runs and not copy.sends

    def transitions(self, system):
        for number, copy in enumerate(system.copies):
            if not copy.crashed:
                yield from self.copy_steps(system, number, copy)
        for index, entry in enumerate(system.in_flight):
            rest = system.in_flight[:index] + system.in_flight[index + 1 :]
            yield f"arrive {entry}", system._replace(in_flight=rest, log=(*system.log, entry))
            if system.repeats < self.max_repeats and not self.crashed(system, entry):
                repeated = tuple(sorted((*system.in_flight, entry), key=repr))
                yield f"repeat {entry}", system._replace(
                    in_flight=repeated, repeats=system.repeats + 1
                )
            if isinstance(entry, Claim) and system.in_flight.count(entry) == 1:
                number = int(entry.claim_id[1])
                if (
                    not system.copies[number].crashed
                    and entry not in system.log
                    and not system.repeats
                ):
                    after = system._replace(in_flight=rest)
                    yield f"refuse {entry}", self.apply_event(after, number, ClaimRefused())

    def crashed(self, system, entry):
        return system.copies[int(entry.claim_id[1])].crashed

    def copy_steps(self, system, number, copy):
        name = f"copy {number}"
        if copy.session is None:
            if number and system.copies[number - 1].session is None:
                return  # Copies are interchangeable before they start, so they start in order.
            started = self.replace_copy(system, number, copy._replace(session=new_session(number)))
            yield f"{name} claims", self.append(started, number, AppendClaim())
            return
        if not copy.expired and number < self.expiring:
            yield f"{name} expires", self.replace_copy(system, number, copy._replace(expired=True))
        if copy.position < len(system.log):
            after = self.read(system, number, copy)
            while self.batch_reads and after.copies[number].position < len(system.log):
                after = self.read(after, number, after.copies[number])
            yield f"{name} reads", after
        if copy.expired and copy.session.state in (State.CLAIMING, State.WAITING):
            yield f"{name} gives up", self.apply_event(system, number, DeadlinePassed(False))
        if self.leases and copy.session.state is State.WAITING:
            _, entry = last_events(self.table_type, system.log)
            release = Release(entry.holder or "", KEY)
            if entry.holder and release not in (*system.in_flight, *system.log):
                ended = system._replace(in_flight=(*system.in_flight, release))
                yield f"{name} ends the lease", ended
        yield from self.sending_steps(system, number, copy)
        if self.crashes:
            yield f"{name} crashes", self.replace_copy(
                system, number, copy._replace(crashed=True, sends=0)
            )

    def sending_steps(self, system, number, copy):
        name = f"copy {number}"
        if copy.sends:
            ran = copy._replace(sends=0, runs=copy.runs + copy.sends)
            yield f"{name} runs", self.replace_copy(system, number, ran)
            unsent = self.replace_copy(system, number, copy._replace(sends=0, answer="not_run"))
            yield f"{name} does not send", self.apply_event(unsent, number, CallNotSent())
        elif copy.runs and copy.session.state is State.SENDING:
            outcome = CallCompleted(Outcome(200))
            yield f"{name} records the outcome", self.apply_event(system, number, outcome)

    def read(self, system, number, copy):
        events, _ = last_events(self.table_type, system.log[: copy.position + 1])
        system = self.replace_copy(system, number, copy._replace(position=copy.position + 1))
        claim_id_of_copy = copy.session.claim_id
        for table_event in events:
            match table_event:
                case Won(claim_id) if claim_id == claim_id_of_copy:
                    event = ClaimWon(1 if copy.expired else 0)
                case Lost(claim_id, _, same, outcome) if claim_id == claim_id_of_copy:
                    event = ClaimLost(same, outcome)
                case Freed():
                    event = KeyFreed()
                case Settled(_, outcome):
                    event = KeySettled(outcome)
                case _:
                    continue
            system = self.apply_event(system, number, event)
        return system

    def apply_event(self, system, number, event):
        before = system.copies[number]
        if isinstance(event, KeyFreed) and before.session.attempt >= self.max_attempts:
            return system
        after, decisions = self.step(before.session, event)
        system = self.replace_copy(system, number, before._replace(session=after))
        for decision in decisions:
            copy = system.copies[number]
            match decision:
                case Send():
                    system = self.replace_copy(system, number, copy._replace(sends=copy.sends + 1))
                case Replay():
                    system = self.replace_copy(system, number, copy._replace(answer="replay"))
                case Refuse(run_state):
                    text = "not_run" if run_state is RunState.NOT_RUN else "unknown"
                    system = self.replace_copy(system, number, copy._replace(answer=text))
                case _:
                    system = self.append(system, number, decision)
        return system

    def append(self, system, number, decision):
        own_session = system.copies[number].session
        match decision:
            case AppendClaim():
                entry = Claim(own_session.claim_id, KEY, "r", T0)
            case AppendRelease():
                entry = Release(own_session.claim_id, KEY)
            case AppendOutcome(outcome):
                entry = Settlement(own_session.claim_id, KEY, outcome)
        return system._replace(in_flight=tuple(sorted((*system.in_flight, entry), key=repr)))

    @staticmethod
    def replace_copy(system, number, copy):
        copies = system.copies[:number] + (copy,) + system.copies[number + 1 :]
        return system._replace(copies=copies)
