"""Model of the claims protocol for one key: every interleaving of copies, appends and crashes.

The model runs the functions of the core: `ClaimTable` folds the log and `advance` moves the sessions.
A pause needs no step of its own: any step of a copy can come arbitrarily late. A log outage is a time
without deliveries, and a refused append is the step `refuse`.
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
    advance,
    batch_record,
)
from ibispaddle_core.runstate import RunState
from minicheck import Protocol

KEY = "k"
T0 = 1_700_000_000_000


class Copy(NamedTuple):
    """One copy of the call at an instance of its own."""

    session: Session | None = None
    position: int = 0  # Records read.
    sends: int = 0  # Permissions that were not used yet.
    runs: int = 0
    answer: str = ""
    crashed: bool = False
    expired: bool = False  # The deadline has passed.
    asked: tuple[int, ...] = ()  # Committers that were asked about the current claim.


class World(NamedTuple):
    copies: tuple[Copy, ...]
    log: tuple = ()  # Entries in the log.
    flying: tuple = ()  # Entries whose append was sent; they arrive in any order or never.
    repeats: int = 0


def fold(table_type, log):
    """Return the table after a log, and the notices of the last record."""
    table = table_type(3_600_000, 86_400_000)
    table.read_page(0, [], T0)
    found = []
    for offset, entry in enumerate(log):
        record = LogRecord(offset, T0, batch_record("b", [entry]))
        found = table.read_page(0, [record], T0)
    return table, tuple(found)


@cache
def notices(table_type, log):
    """Return the notices of the last record of the log."""
    table, found = fold(table_type, log)
    return found, table.get(KEY)


@cache
def table_after(table_type, log):
    """Return the table after a log; it must not be changed."""
    return fold(table_type, log)[0]


def session(number):
    return Session(f"i{number}", KEY, "r", T0, deadline_ms=1)


class ClaimsModel:
    """Build the protocol; the variants take a mechanism out."""

    def __init__(
        self,
        copies=2,
        table_type=ClaimTable,
        step=advance,
        max_attempts=1,  # Claims of one copy after the first.
        max_repeats=1,  # Repeated appends after a lost answer.
        crashes=True,
        whole_reads=False,  # A copy reads all new records in one step; a smaller state space.
        expiring=3,  # Copies whose deadline can pass.
        leases=False,  # A waiting copy may release the first claim.
    ):
        self.copies = copies
        self.max_repeats = max_repeats
        self.crashes = crashes
        self.whole_reads = whole_reads
        self.expiring = expiring
        self.leases = leases
        self.table_type = table_type
        self.step = step
        self.max_attempts = max_attempts

    def protocol(self, *names):
        """Return the protocol with the named invariants, or with all that the design promises."""
        protocol = self.full_protocol()
        names = names or tuple(n for n in protocol.invariants if n != "not_run_holds_for_the_key")
        kept = {name: protocol.invariants[name] for name in names}
        return replace(protocol, invariants=kept)

    def full_protocol(self):
        return Protocol(
            name="claims",
            candidate=False,
            fields=("world",),
            initial=(self.initial(),),
            transitions=lambda state: [(n, (w,)) for n, w in self.transitions(state[0])],
            invariants={
                "at_most_one_run": lambda d: sum(c.runs for c in d["world"].copies) <= 1,
                "not_run_is_true": lambda d: all(
                    not (c.answer == "not_run" and (c.runs or c.sends)) for c in d["world"].copies
                ),
                # The design does not promise this one: a copy can be refused in an outage after
                # another copy has run.
                "not_run_holds_for_the_key": lambda d: not (
                    any(c.answer == "not_run" for c in d["world"].copies)
                    and any(c.runs and c.answer != "not_run" for c in d["world"].copies)
                    and all(c.session is not None for c in d["world"].copies)
                ),
                "replay_follows_a_run": lambda d: not any(
                    c.answer == "replay" for c in d["world"].copies
                )
                or any(c.runs for c in d["world"].copies),
                "key_is_not_blocked": lambda d: not self.is_blocked(d["world"]),
            },
        )

    def initial(self):
        return World((Copy(),) * self.copies)

    def is_blocked(self, world):
        """Return whether the first claim is of a copy that has ended without a run."""
        if world.flying or any(copy.crashed for copy in world.copies):
            return False
        _, entry = notices(self.table_type, world.log) if world.log else ((), None)
        if entry is None or entry.holder is None or entry.outcome is not None:
            return False
        copy = world.copies[int(entry.holder[1])]
        done = copy.session is not None and copy.session.state is State.DONE
        return done and not copy.runs and not copy.sends

    def transitions(self, world):
        for number, copy in enumerate(world.copies):
            if not copy.crashed:
                yield from self.copy_steps(world, number, copy)
        for index, entry in enumerate(world.flying):
            rest = world.flying[:index] + world.flying[index + 1 :]
            yield f"arrive {entry}", world._replace(flying=rest, log=(*world.log, entry))
            if world.repeats < self.max_repeats and not self.crashed(world, entry):
                repeated = tuple(sorted((*world.flying, entry), key=repr))
                yield f"repeat {entry}", world._replace(flying=repeated, repeats=world.repeats + 1)
            if isinstance(entry, Claim) and world.flying.count(entry) == 1:
                number = int(entry.claim_id[1])
                if (
                    not world.copies[number].crashed
                    and entry not in world.log
                    and not world.repeats
                ):
                    after = world._replace(flying=rest)
                    yield f"refuse {entry}", self.feed(after, number, ClaimRefused())

    def crashed(self, world, entry):
        return world.copies[int(entry.claim_id[1])].crashed

    def copy_steps(self, world, number, copy):
        name = f"copy {number}"
        if copy.session is None:
            if number and world.copies[number - 1].session is None:
                return  # Copies that have not begun are equal; they begin in order.
            started = self.put(world, number, copy._replace(session=session(number)))
            yield f"{name} claims", self.append(started, number, AppendClaim())
            return
        if not copy.expired and number < self.expiring:
            yield f"{name} expires", self.put(world, number, copy._replace(expired=True))
        if copy.position < len(world.log):
            after = self.read(world, number, copy)
            while self.whole_reads and after.copies[number].position < len(world.log):
                after = self.read(after, number, after.copies[number])
            yield f"{name} reads", after
        if copy.expired and copy.session.state in (State.CLAIMING, State.WAITING):
            yield f"{name} gives up", self.feed(world, number, DeadlinePassed(False))
        if self.leases and copy.session.state is State.WAITING:
            _, entry = notices(self.table_type, world.log)
            release = Release(entry.holder or "", KEY)
            if entry.holder and release not in (*world.flying, *world.log):
                ended = world._replace(flying=(*world.flying, release))
                yield f"{name} ends the lease", ended
        yield from self.sending_steps(world, number, copy)
        if self.crashes:
            yield f"{name} crashes", self.put(world, number, copy._replace(crashed=True, sends=0))

    def sending_steps(self, world, number, copy):
        name = f"copy {number}"
        if copy.sends:
            ran = copy._replace(sends=0, runs=copy.runs + copy.sends)
            yield f"{name} runs", self.put(world, number, ran)
            unsent = self.put(world, number, copy._replace(sends=0, answer="not_run"))
            yield f"{name} does not send", self.feed(unsent, number, CallNotSent())
        elif copy.runs and copy.session.state is State.SENDING:
            outcome = CallCompleted(Outcome(200))
            yield f"{name} records the outcome", self.feed(world, number, outcome)

    def read(self, world, number, copy):
        found, _ = notices(self.table_type, world.log[: copy.position + 1])
        world = self.put(world, number, copy._replace(position=copy.position + 1))
        own = copy.session.claim_id
        for notice in found:
            match notice:
                case Won(claim_id) if claim_id == own:
                    event = ClaimWon(1 if copy.expired else 0)
                case Lost(claim_id, _, same, outcome) if claim_id == own:
                    event = ClaimLost(same, outcome)
                case Freed():
                    event = KeyFreed()
                case Settled(_, outcome):
                    event = KeySettled(outcome)
                case _:
                    continue
            world = self.feed(world, number, event)
        return world

    def feed(self, world, number, event):
        before = world.copies[number]
        if isinstance(event, KeyFreed) and before.session.attempt >= self.max_attempts:
            return world
        after, decisions = self.step(before.session, event)
        world = self.put(world, number, before._replace(session=after))
        for decision in decisions:
            copy = world.copies[number]
            match decision:
                case Send():
                    world = self.put(world, number, copy._replace(sends=copy.sends + 1))
                case Replay():
                    world = self.put(world, number, copy._replace(answer="replay"))
                case Refuse(run_state):
                    text = "not_run" if run_state is RunState.NOT_RUN else "unknown"
                    world = self.put(world, number, copy._replace(answer=text))
                case _:
                    world = self.append(world, number, decision)
        return world

    def append(self, world, number, decision):
        own = world.copies[number].session
        match decision:
            case AppendClaim():
                entry = Claim(own.claim_id, KEY, "r", T0)
            case AppendRelease():
                entry = Release(own.claim_id, KEY)
            case AppendOutcome(outcome):
                entry = Settlement(own.claim_id, KEY, outcome)
        return world._replace(flying=tuple(sorted((*world.flying, entry), key=repr)))

    @staticmethod
    def put(world, number, copy):
        copies = world.copies[:number] + (copy,) + world.copies[number + 1 :]
        return world._replace(copies=copies)
