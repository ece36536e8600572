"""Model of one key with copies of a call whose claims pass through two committers.

Both committers act as the committer of the key's partition. Pauses are not modelled explicitly,
because any step of a committer or a copy can be delayed arbitrarily. A lost response is one that a
copy has not received before the committer reads more records; a delayed response is that of a
committer that has not read further. The committers run `ClaimTable.verdict`, and the copies run
`transition`. The rules of `ClaimManager` and `AppendQueue` for releases and refusals are modelled
here.
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

from .claims import KEY, T0, ClaimsModel, Copy, SystemState, new_session, table_after


class Committer(NamedTuple):
    position: int = 0  # Number of records read.
    queued: tuple = ()  # Claims whose append has not started.
    taken: tuple = ()  # Ids of the claims that this committer has appended or queued.
    asked: tuple = ()  # Ids of the claims that it received.
    first: str = ""  # First claim received; used by the variant that ignores the log order.


class RequestMessage(NamedTuple):
    committer: int
    claim: Claim


class UpdateMessage(NamedTuple):
    committer: int
    release: Release
    sent_once: bool  # The claim was sent once, and to this committer.


class CommitterSystemState(NamedTuple):
    copies: tuple[Copy, ...]
    committers: tuple[Committer, ...] = (Committer(), Committer())
    messages: tuple = ()  # Messages to the committers; they can arrive at any time.
    log: tuple = ()
    in_flight: tuple = ()
    repeats: int = 0


class CommittersModel(ClaimsModel):
    """Builds the protocol; the options select variants that lack a mechanism."""

    def __init__(
        self,
        log_order=True,  # If false, a committer lets the first claim win that it receives.
        always_certain=False,  # A refusal is final even if the claim was sent more than once.
        always_sent_once=False,  # A release cancels a claim even if another committer received it.
        releases_pending_claims=True,  # A lost claim that may still be appended is released.
        multi_committer_copies=2,  # Number of copies that can use a second committer.
        ignores_resends=False,  # A refusal is certain although the claim was sent to the committer twice.
        has_queues=False,  # Claims are queued, and can be refused or cancelled in the queue.
        max_resends=0,  # Number of times a claim can be sent again to the same committer.
        **options,
    ):
        super().__init__(crashes=False, **options)
        self.log_order = log_order
        self.always_certain = always_certain
        self.ignores_resends = ignores_resends
        self.always_sent_once = always_sent_once
        self.has_queues = has_queues
        self.max_resends = max_resends
        self.multi_committer_copies = multi_committer_copies
        self.releases_pending_claims = releases_pending_claims

    def initial(self):
        return CommitterSystemState((Copy(),) * self.copies)

    def is_blocked(self, system):
        if system.messages or any(committer.queued for committer in system.committers):
            return False
        return super().is_blocked(SystemState(system.copies, system.log, system.in_flight))

    def transitions(self, system):
        for number, copy in enumerate(system.copies):
            yield from self.copy_steps(system, number, copy)
        for index, message in enumerate(system.messages):
            rest = system._replace(messages=system.messages[:index] + system.messages[index + 1 :])
            yield f"committer receives {message}", self.receive(rest, message)
        for number, committer in enumerate(system.committers):
            yield from self.committer_steps(system, number, committer)
        for index, entry in enumerate(system.in_flight):
            rest = system.in_flight[:index] + system.in_flight[index + 1 :]
            yield f"arrive {entry}", system._replace(in_flight=rest, log=(*system.log, entry))

    def committer_steps(self, system, number, committer):
        name = f"committer {number}"
        if committer.position < len(system.log):
            # A committer that reads less is equivalent to one that is paused after an earlier read.
            read = committer._replace(position=len(system.log))
            yield f"{name} reads", self.replace_committer(system, number, read)
        for claim in committer.queued:
            rest = tuple(item for item in committer.queued if item != claim)
            emptied = self.replace_committer(system, number, committer._replace(queued=rest))
            yield f"{name} appends {claim.claim_id}", self.start_append(emptied, claim)
            yield f"{name} refuses {claim.claim_id}", self.refuse(emptied, number, claim)

    def refuse(self, system, number, claim):
        """Let a committer drop a claim; the copy asks the other one, unless that has refused too."""
        committer = system.committers[number]
        forgotten = committer._replace(
            asked=tuple(item for item in committer.asked if item != claim.claim_id),
            taken=tuple(item for item in committer.taken if item != claim.claim_id),
        )
        system = self.replace_committer(system, number, forgotten)
        copy_number = int(claim.claim_id[1])
        copy = system.copies[copy_number]
        if copy.session.claim_id != claim.claim_id or copy.session.state is not State.CLAIMING:
            return system
        asked = copy.asked
        if self.always_certain:
            asked = ()
        elif self.ignores_resends or asked.count(number) == 1:
            asked = tuple(item for item in asked if item != number)
        refused = tuple(sorted({*copy.refused, number}))
        system = self.replace_copy(system, copy_number, copy._replace(asked=asked, refused=refused))
        if len(refused) < len(system.committers):
            return system
        return self.apply_event(system, copy_number, ClaimRefused(is_certain=not asked))

    def copy_steps(self, system, number, copy):
        name = f"copy {number}"
        if copy.session is None:
            if number and system.copies[number - 1].session is None:
                return  # Copies are interchangeable before they start, so they start in order.
            yield f"{name} starts", self.replace_copy(
                system, number, copy._replace(session=new_session(number))
            )
            return
        if not copy.expired and number < self.expiring:
            yield f"{name} expires", self.replace_copy(system, number, copy._replace(expired=True))
        if copy.session.state in (State.CLAIMING, State.WAITING):
            claim = Claim(copy.session.claim_id, KEY, "r", T0)
            is_claiming = copy.session.state is State.CLAIMING
            for target in range(len(system.committers)):
                can_request = number < self.multi_committer_copies or not copy.asked
                can_resend = is_claiming and target not in copy.refused
                if target in copy.asked and can_resend and system.repeats < self.max_resends:
                    resent = copy._replace(asked=(*copy.asked, target))
                    repeated = system._replace(repeats=system.repeats + 1)
                    yield f"{name} sends its claim to {target} again", self.send(
                        self.replace_copy(repeated, number, resent), RequestMessage(target, claim)
                    )
                if target in copy.refused and target not in copy.asked:
                    continue
                if target not in copy.asked and is_claiming and can_request:
                    if target and not (copy.asked or copy.refused) and not number:
                        continue  # Committers are interchangeable before the first request.
                    asked = self.replace_copy(
                        system, number, copy._replace(asked=(*copy.asked, target))
                    )
                    yield f"{name} sends its claim to {target}", self.send(
                        asked, RequestMessage(target, claim)
                    )
                elif target in copy.asked or not is_claiming:
                    yield from self.response_steps(system, number, copy, target, claim)
            if copy.expired:
                yield f"{name} gives up", self.apply_event(system, number, DeadlinePassed(False))
        yield from self.sending_steps(system, number, copy)

    def response_steps(self, system, number, copy, target, claim):
        """Yield the response of the committer at its read position."""
        committer = system.committers[target]
        if not self.log_order:
            if committer.first == claim.claim_id:
                won = ClaimWon(1 if copy.expired else 0)
                yield f"copy {number} receives a response from {target}", self.apply_event(
                    system, number, won
                )
            return
        is_query = copy.session.state is State.WAITING
        if claim.claim_id not in committer.asked and not is_query:
            return
        table = table_after(self.table_type, system.log[: committer.position])
        is_read = table.has_read(claim)
        if claim.claim_id in committer.taken and not is_read:
            return
        verdict = table.verdict(claim) or Freed(KEY)
        after = system
        for event in self.events(verdict, copy, is_read or len(copy.asked) == 1):
            if after.copies[number].session.claim_id == claim.claim_id:
                after = self.apply_event(after, number, event)
        if after != system:
            yield f"copy {number} receives a response from {target}", after

    def events(self, verdict, copy, is_final):
        is_final = is_final or not self.releases_pending_claims
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

    def receive(self, system, message):
        committer = system.committers[message.committer]
        if isinstance(message, UpdateMessage):
            claims = [
                claim for claim in committer.queued if claim.claim_id == message.release.claim_id
            ]
            kept = tuple(claim for claim in committer.queued if claim not in claims)
            emptied = self.replace_committer(
                system, message.committer, committer._replace(queued=kept)
            )
            return (
                emptied
                if message.sent_once and claims
                else self.start_append(emptied, message.release)
            )
        if not committer.first and not self.log_order:
            committer = committer._replace(first=message.claim.claim_id)
            system = self.replace_committer(system, message.committer, committer)
        asked = tuple(sorted({*committer.asked, message.claim.claim_id}))
        committer = committer._replace(asked=asked)
        known = table_after(self.table_type, system.log[: committer.position]).verdict(
            message.claim
        )
        if known is not None:
            return self.replace_committer(system, message.committer, committer)
        taken = tuple(sorted((*committer.taken, message.claim.claim_id)))
        committer = committer._replace(taken=taken)
        if not self.has_queues:
            return self.start_append(
                self.replace_committer(system, message.committer, committer), message.claim
            )
        queued = committer._replace(queued=(*committer.queued, message.claim))
        return self.replace_committer(system, message.committer, queued)

    def append(self, system, number, decision):
        copy = system.copies[number]
        own = copy.session
        match decision:
            case AppendClaim():
                return self.replace_copy(system, number, copy._replace(asked=(), refused=()))
            case AppendOutcome(outcome):
                return self.start_append(system, Settlement(own.claim_id, KEY, outcome))
            case AppendRelease():
                if not copy.asked and self.is_undecided(copy):
                    return system
                # A copy with a new claim releases its previous claim.
                attempt = own.attempt - (own.state is State.CLAIMING)
                release = Release(f"{own.base_id}.{attempt}", KEY)
                if not self.has_queues:
                    return self.start_append(system, release)
                sent_once = self.always_sent_once or (
                    len(copy.asked) == 1 and self.is_undecided(copy)
                )
                update = UpdateMessage((copy.asked or (0,))[-1], release, sent_once)
                return self.send(system, update)

    @staticmethod
    def is_undecided(copy):
        return copy.answer != "not_run" and copy.expired

    @staticmethod
    def start_append(system, entry):
        return system._replace(in_flight=tuple(sorted((*system.in_flight, entry), key=repr)))

    @staticmethod
    def send(system, message):
        return system._replace(messages=tuple(sorted((*system.messages, message), key=repr)))

    @staticmethod
    def replace_committer(system, number, committer):
        committers = list(system.committers)
        committers[number] = committer
        return system._replace(committers=tuple(committers))
