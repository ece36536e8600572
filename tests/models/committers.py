"""Model of one key whose copies of a call reach the stream through two committers.

Both committers believe that they are chosen. A pause needs no step of its own: a committer or copy may
take any of its steps arbitrarily late. A lost answer is one that the copy does not hear before the
committer reads on, and a delayed one is that of a committer that has not read on. The model runs `ClaimTable.verdict` at the committers and `advance` at the
copies; the rules of `ClaimManager` and `AppendQueue` for releases and refusals are written out here.
"""

from typing import NamedTuple

from ibispaddle_core.idempotency import (
    AppendClaim,
    AppendOutcome,
    AppendRelease,
    Claim,
    ClaimLost,
    ClaimRefused,
    ClaimVoid,
    ClaimWon,
    DeadlinePassed,
    Freed,
    KeyFreed,
    KeySettled,
    Lost,
    Release,
    Settlement,
    State,
    Void,
    Won,
)

from .claims import KEY, T0, ClaimsModel, Copy, World, session, table_after


class Committer(NamedTuple):
    position: int = 0  # Records read.
    queued: tuple = ()  # Claims whose append was not sent yet.
    taken: tuple = ()  # Ids of the claims that this committer has appended or will append.
    asked: tuple = ()  # Ids of the claims that it was asked about.
    first: str = ""  # The claim that came first here, for the variant without the log's order.


class Ask(NamedTuple):
    committer: int
    claim: Claim


class Note(NamedTuple):
    committer: int
    release: Release
    sole: bool  # The claim was sent once, to this committer.


class CommitterWorld(NamedTuple):
    copies: tuple[Copy, ...]
    committers: tuple[Committer, ...] = (Committer(), Committer())
    mail: tuple = ()  # Asks and notes that may arrive at any time.
    log: tuple = ()
    flying: tuple = ()
    repeats: int = 0


class CommittersModel(ClaimsModel):
    """Build the protocol; the variants take a mechanism out."""

    def __init__(
        self,
        log_order=True,  # Without it, a committer lets the first claim win that reaches it.
        always_certain=False,  # A refusal counts although another committer was asked.
        always_sole=False,  # A release may cancel a claim although another committer was asked.
        loose_ends=True,  # A lost claim that may still arrive is released.
        wandering=2,  # Copies that may ask a second committer.
        queues=False,  # Claims wait in a queue, where they can be refused or cancelled.
        **options,
    ):
        super().__init__(crashes=False, **options)
        self.log_order = log_order
        self.always_certain = always_certain
        self.always_sole = always_sole
        self.queues = queues
        self.wandering = wandering
        self.loose_ends = loose_ends

    def initial(self):
        return CommitterWorld((Copy(),) * self.copies)

    def is_blocked(self, world):
        if world.mail or any(committer.queued for committer in world.committers):
            return False
        return super().is_blocked(World(world.copies, world.log, world.flying))

    def transitions(self, world):
        for number, copy in enumerate(world.copies):
            yield from self.copy_steps(world, number, copy)
        for index, item in enumerate(world.mail):
            rest = world._replace(mail=world.mail[:index] + world.mail[index + 1 :])
            yield f"committer receives {item}", self.receive(rest, item)
        for number, committer in enumerate(world.committers):
            yield from self.committer_steps(world, number, committer)
        for index, entry in enumerate(world.flying):
            rest = world.flying[:index] + world.flying[index + 1 :]
            yield f"arrive {entry}", world._replace(flying=rest, log=(*world.log, entry))

    def committer_steps(self, world, number, committer):
        name = f"committer {number}"
        if committer.position < len(world.log):
            # A committer that lags has the position of one that read earlier and was paused.
            read = committer._replace(position=len(world.log))
            yield f"{name} reads", self.put_committer(world, number, read)
        for claim in committer.queued:
            rest = tuple(item for item in committer.queued if item != claim)
            emptied = self.put_committer(world, number, committer._replace(queued=rest))
            yield f"{name} appends {claim.claim_id}", self.fly(emptied, claim)
            copy_number = int(claim.claim_id[1])
            copy = emptied.copies[copy_number]
            if copy.session.claim_id == claim.claim_id:
                certain = self.always_certain or len(copy.asked) == 1
                refused = self.feed(emptied, copy_number, ClaimRefused(certain))
                yield f"{name} refuses {claim.claim_id}", refused

    def copy_steps(self, world, number, copy):
        name = f"copy {number}"
        if copy.session is None:
            if number and world.copies[number - 1].session is None:
                return  # Copies that have not begun are equal; they begin in order.
            yield f"{name} begins", self.put(world, number, copy._replace(session=session(number)))
            return
        if not copy.expired and number < self.expiring:
            yield f"{name} expires", self.put(world, number, copy._replace(expired=True))
        if copy.session.state in (State.CLAIMING, State.WAITING):
            claim = Claim(copy.session.claim_id, KEY, "r", T0)
            is_claiming = copy.session.state is State.CLAIMING
            for target in range(len(world.committers)):
                may_ask = number < self.wandering or not copy.asked
                if target not in copy.asked and is_claiming and may_ask:
                    if target and not copy.asked and not number:
                        continue  # The committers are equal until one was asked.
                    asked = self.put(world, number, copy._replace(asked=(*copy.asked, target)))
                    yield f"{name} asks {target}", self.post(asked, Ask(target, claim))
                elif target in copy.asked or not is_claiming:
                    yield from self.hear(world, number, copy, target, claim)
            if copy.expired:
                yield f"{name} gives up", self.feed(world, number, DeadlinePassed(False))
        yield from self.sending_steps(world, number, copy)

    def hear(self, world, number, copy, target, claim):
        """Yield the answer that the committer gives at its position."""
        committer = world.committers[target]
        if not self.log_order:
            if committer.first == claim.claim_id:
                won = ClaimWon(1 if copy.expired else 0)
                yield f"copy {number} hears of {target}", self.feed(world, number, won)
            return
        is_query = copy.session.state is State.WAITING
        if claim.claim_id not in committer.asked and not is_query:
            return
        table = table_after(self.table_type, world.log[: committer.position])
        is_read = table.has_read(claim)
        if claim.claim_id in committer.taken and not is_read:
            return
        verdict = table.verdict(claim) or Freed(KEY)
        after = world
        for event in self.events(verdict, copy, is_read or len(copy.asked) == 1):
            if after.copies[number].session.claim_id == claim.claim_id:
                after = self.feed(after, number, event)
        if after != world:
            yield f"copy {number} hears of {target}", after

    def events(self, verdict, copy, is_final):
        is_final = is_final or not self.loose_ends
        match verdict:
            case Won():
                return (ClaimWon(1 if copy.expired else 0),)
            case Lost(_, _, same, None):
                return (ClaimLost(same, None, is_final),)
            case Lost(_, _, same, outcome):
                return (ClaimLost(same, outcome), KeySettled(outcome))
            case Freed():
                return (ClaimLost(True, None, is_final), KeyFreed())
            case Void():
                return (ClaimVoid(),)
        return ()

    def receive(self, world, item):
        committer = world.committers[item.committer]
        if isinstance(item, Note):
            claims = [
                claim for claim in committer.queued if claim.claim_id == item.release.claim_id
            ]
            kept = tuple(claim for claim in committer.queued if claim not in claims)
            emptied = self.put_committer(world, item.committer, committer._replace(queued=kept))
            return emptied if item.sole and claims else self.fly(emptied, item.release)
        if not committer.first and not self.log_order:
            committer = committer._replace(first=item.claim.claim_id)
            world = self.put_committer(world, item.committer, committer)
        asked = tuple(sorted({*committer.asked, item.claim.claim_id}))
        committer = committer._replace(asked=asked)
        known = table_after(self.table_type, world.log[: committer.position]).verdict(item.claim)
        if known is not None:
            return self.put_committer(world, item.committer, committer)
        taken = tuple(sorted((*committer.taken, item.claim.claim_id)))
        committer = committer._replace(taken=taken)
        if not self.queues:
            return self.fly(self.put_committer(world, item.committer, committer), item.claim)
        queued = committer._replace(queued=(*committer.queued, item.claim))
        return self.put_committer(world, item.committer, queued)

    def append(self, world, number, decision):
        copy = world.copies[number]
        own = copy.session
        match decision:
            case AppendClaim():
                return self.put(world, number, copy._replace(asked=()))
            case AppendOutcome(outcome):
                return self.fly(world, Settlement(own.claim_id, KEY, outcome))
            case AppendRelease():
                if not copy.asked:
                    return world
                # A copy that claims again releases its earlier claim.
                attempt = own.attempt - (own.state is State.CLAIMING)
                release = Release(f"{own.base_id}.{attempt}", KEY)
                if not self.queues:
                    return self.fly(world, release)
                sole = self.always_sole or (len(copy.asked) == 1 and self.is_unread(copy))
                note = Note(copy.asked[-1], release, sole)
                return self.post(world, note)

    @staticmethod
    def is_unread(copy):
        return copy.answer != "not_run" and copy.expired

    @staticmethod
    def fly(world, entry):
        return world._replace(flying=tuple(sorted((*world.flying, entry), key=repr)))

    @staticmethod
    def post(world, item):
        return world._replace(mail=tuple(sorted((*world.mail, item), key=repr)))

    @staticmethod
    def put_committer(world, number, committer):
        committers = list(world.committers)
        committers[number] = committer
        return world._replace(committers=tuple(committers))
