"""Simulated instances, log and service in virtual time, for tests of at-most-once execution."""

from dataclasses import dataclass, field

from ibispaddle_core.configuration import LogRecord
from ibispaddle_core.idempotency import (
    BodyReply,
    BodyRequest,
    CallCompleted,
    CallNotSent,
    CallUnknown,
    ClaimManager,
    ClaimResponse,
    ClaimUpdateAck,
    Committer,
    Outcome,
    OutgoingMessage,
    Refuse,
    Replay,
    Send,
)
from ibispaddle_core.runstate import RunState

WINDOW_MS = 200_000
RETENTION_MS = 400_000
INTERVAL_MS = 50
EPOCH_MS = 1_700_000_000_000


@dataclass
class Append:
    """An append in flight; it can reach the log at any time, even after its response was lost."""

    instance: "Instance"
    batch_id: str
    record: dict
    answered: bool = False


@dataclass
class Instance:
    name: str
    skew_ms: int
    manager: ClaimManager
    committer: Committer
    unsent: dict[str, Send] = field(
        default_factory=dict
    )  # Decided, but the deadline is not checked yet.
    checked: list[str] = field(default_factory=list)  # Deadline checked, but not written yet.
    written: list[str] = field(
        default_factory=list
    )  # Written, but the outcome is not recorded yet.


class Fleet:
    """Drive the claim managers and committers of several instances and count the runs per key.

    All keys are in one partition, and every instance can act as its committer. `choices` is the
    order in which an instance tries the committers; by default it tries itself first.
    """

    table_type = None
    padding = b""  # Appended to the response bodies.

    def __init__(self, skews_ms=(0, 20_000, -20_000)):
        self.now_ms = 0
        self.log: list[LogRecord] = []
        self.first_offset = 0
        self.appends: list[Append] = []
        self.messages: list[tuple] = []  # Sender's name, receiver's name and message.
        self.available = True
        self.turned_away: set[str] = set()  # Instances to which the log is not available.
        self.boots = 0
        self.calls: dict[str, str] = {}  # call id -> key
        self.answers: dict[str, object] = {}
        self.runs: dict[str, list[str]] = {}  # key -> call ids
        self.crashed: set[str] = set()  # Keys with a call at an instance that crashed.
        names = [f"i{n}" for n in range(len(skews_ms))]
        self.choices = {name: names[n:] + names[:n] for n, name in enumerate(names)}
        self.instances = [self._boot(f"i{n}", skew) for n, skew in enumerate(skews_ms)]

    def _boot(self, name, skew_ms):
        self.boots += 1
        prefix = f"{name}/{self.boots}"
        manager = ClaimManager(prefix, WINDOW_MS, lambda partition: self.choices[name])
        committer = Committer(f"{prefix}/0", WINDOW_MS, RETENTION_MS, INTERVAL_MS)
        if self.table_type is not None:
            committer.table = self.table_type(WINDOW_MS, RETENTION_MS)
        return Instance(name, skew_ms, manager, committer)

    def post(self, instance, outgoing):
        """Send messages; those of an instance to itself are delivered at once."""
        for item in outgoing:
            if item.instance_id == instance.name:
                self.receive(instance, instance.name, item.message)
            else:
                self.messages.append((instance.name, item.instance_id, item.message))

    def receive(self, instance, sender, message):
        if isinstance(message, ClaimResponse | ClaimUpdateAck):
            self.take(instance, instance.manager.receive(sender, message, self.now_ms))
        elif isinstance(message, BodyReply):
            self.take(instance, instance.manager.receive_body(sender, message))
        elif isinstance(message, BodyRequest):
            self.post(
                instance, [OutgoingMessage(sender, instance.manager.long_bodies.reply_to(message))]
            )
        else:
            committer, available = instance.committer, self.is_available_to(instance)
            self.post(instance, committer.receive(sender, message, self.now_ms, available))

    def is_available_to(self, instance):
        return self.available and instance.name not in self.turned_away

    def deliver_message(self, index):
        sender, receiver, message = self.messages.pop(index)
        self.receive(self.instances[int(receiver[1:])], sender, message)

    def deliver_messages(self):
        while self.messages:
            self.deliver_message(0)

    def lose_message(self, index, noticed):
        """Drop a message; with `noticed`, its sender detects that the connection was lost."""
        sender, receiver, _ = self.messages.pop(index)
        if noticed:
            instance = self.instances[int(sender[1:])]
            instance.manager.committer_client.connection_lost(receiver, self.now_ms)
            self.pump(instance)

    def pump(self, instance):
        """Send the messages of the instance that are due."""
        self.post(instance, instance.manager.due_messages(self.now_ms))

    def wall_ms(self, skew_ms=0):
        return EPOCH_MS + self.now_ms + skew_ms

    def advance(self, delta_ms):
        self.now_ms += delta_ms
        oldest = self.wall_ms() - RETENTION_MS
        while self.first_offset < len(self.log) and self.log[self.first_offset].time_ms < oldest:
            self.first_offset += 1

    def start_call(self, number, key, timeout_ms=10_000, request_hash="r"):
        instance = self.instances[number]
        call_id = f"call{len(self.calls)}"
        self.calls[call_id] = key
        decided = instance.manager.start_call(
            call_id,
            key,
            request_hash,
            self.now_ms + timeout_ms,
            self.now_ms,
            self.wall_ms(instance.skew_ms),
        )
        self.take(instance, decided)
        return call_id

    def take(self, instance, decided):
        for item in decided:
            if isinstance(item.decision, Send):
                assert item.call_id not in instance.unsent, "one call was decided as Send twice"
                instance.unsent[item.call_id] = item.decision
            else:
                self.answer(item.call_id, item.decision)
        self.pump(instance)

    def answer(self, call_id, decision):
        assert call_id not in self.answers, "one call received two responses"
        self.answers[call_id] = decision
        if isinstance(decision, Replay):
            body = decision.outcome.body.removesuffix(self.padding)
            assert body.decode() in self.runs[self.calls[call_id]]

    def start_append(self, number):
        instance = self.instances[number]
        batch = instance.committer.queue.next_batch(self.now_ms)
        if batch is not None:
            self.appends.append(Append(instance, *batch))
        return batch is not None

    def deliver(self, index, answer=True):
        append = self.appends.pop(index)
        self.log.append(LogRecord(len(self.log), self.wall_ms(), append.record))
        if not append.answered:
            if answer:
                self.post(append.instance, append.instance.committer.appended(append.batch_id))
            else:
                append.instance.committer.queue.response_lost(append.batch_id, self.now_ms)

    def lose_answer(self, index):
        append = self.appends[index]
        if not append.answered:
            append.answered = True
            append.instance.committer.queue.response_lost(append.batch_id, self.now_ms)

    def refuse(self, index, outage):
        append = self.appends[index]
        if not append.answered:
            self.appends.pop(index)
            committer = append.instance.committer
            outgoing = committer.append_refused(append.batch_id, self.now_ms, outage)
            if append.instance in self.instances:
                self.post(append.instance, outgoing)

    def read(self, number, limit=1_000):
        instance = self.instances[number]
        if instance.name in self.turned_away:
            return
        start = max(instance.committer.table.position, self.first_offset)
        page = self.log[start : start + limit]
        wall_ms = self.wall_ms(instance.skew_ms)
        end = len(self.log)
        read = instance.committer.read_page
        self.post(
            instance, read(self.first_offset, page, end, self.now_ms, wall_ms, self.available)
        )

    def tick(self, number):
        instance = self.instances[number]
        instance.committer.tick(self.now_ms)
        self.take(instance, instance.manager.tick(self.now_ms))

    def check_send(self, number):
        instance = self.instances[number]
        for call_id, permission in list(instance.unsent.items()):
            del instance.unsent[call_id]
            if self.now_ms < permission.deadline_ms:
                instance.checked.append(call_id)
            else:
                self.finish_call(instance, call_id, CallNotSent())
                self.answer(call_id, Refuse(RunState.NOT_RUN, "deadline"))

    def finish_call(self, instance, call_id, result):
        instance.manager.finish_call(call_id, result, self.now_ms)
        self.pump(instance)

    def refuse_connection(self, number):
        instance = self.instances[number]
        if instance.checked:
            call_id = instance.checked.pop()
            self.finish_call(instance, call_id, CallNotSent())
            self.answer(call_id, Refuse(RunState.NOT_RUN, "unreachable"))

    def write(self, number):
        instance = self.instances[number]
        for call_id in instance.checked:
            self.runs.setdefault(self.calls[call_id], []).append(call_id)
            instance.written.append(call_id)
        instance.checked.clear()

    def finish(self, number, known=True):
        instance = self.instances[number]
        for call_id in instance.written:
            outcome = Outcome(200, "text/plain", call_id.encode() + self.padding)
            result = CallCompleted(outcome) if known else CallUnknown()
            self.finish_call(instance, call_id, result)
            decision = Replay(outcome) if known else Refuse(RunState.UNKNOWN, "closed")
            self.answer(call_id, decision)
        instance.written.clear()

    def crash(self, number):
        old = self.instances[number]
        self.crashed |= {self.calls[c] for c in self.calls if c not in self.answers}
        if len(old.manager.committer_client):
            # The release may be lost in the crash, and then its key stays blocked.
            self.crashed |= set(self.calls.values())
        self.instances[number] = self._boot(old.name, old.skew_ms)
        for append in self.appends:
            append.answered = append.answered or append.instance is old
        self.messages = [item for item in self.messages if item[1] != old.name]
        for other in self.instances:
            other.manager.committer_client.connection_lost(old.name, self.now_ms)

    def exchange_all(self, duration_ms):
        """Let time pass, then deliver all messages and appends, and read the log."""
        self.advance(duration_ms)
        for instance in self.instances:
            self.pump(instance)
        self.deliver_messages()
        for number in range(len(self.instances)):
            self.start_append(number)
        while self.appends:
            self.deliver(0)
        for number in range(len(self.instances)):
            self.read(number)
        self.deliver_messages()

    def settle(self):
        """Complete all work: deliver messages and appends, read, send, and record the responses."""
        for _ in range(12):
            self.exchange_all(6_000)
            for number in range(len(self.instances)):
                self.tick(number)
                self.check_send(number)
                self.write(number)
                self.finish(number)

    def check(self):
        for key, calls in self.runs.items():
            assert len(calls) <= 1, f"key {key} ran {len(calls)} times"
        ran = {call_id for calls in self.runs.values() for call_id in calls}
        for call_id, decision in self.answers.items():
            if isinstance(decision, Refuse) and decision.run_state is RunState.NOT_RUN:
                assert call_id not in ran, f"{call_id} was reported as 'not_run' but ran"
