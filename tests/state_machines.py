"""Runs hypothesis state machines with the same examples on every run."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_state_machine(machine, examples, steps=40):
    """Run a state machine; errors of its rules and invariants are raised."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
        ),
    )
