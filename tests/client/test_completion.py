"""Tests of the shell completion; the zsh script is not run, only its text is checked."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

PROGRAM = Path(sys.executable).with_name("ibispaddle")
# Calls the completion function as bash does when the user presses the Tab key.
PRESS_TAB = """
eval "$1"; shift
COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1))
"$(complete -p ibispaddle | sed 's/.*-F \\([^ ]*\\) .*/\\1/')" ibispaddle
printf '%s\\n' "${COMPREPLY[@]}"
"""


class CompletionTest(unittest.TestCase):
    def run_command(self, *command, **variables):
        path = f"{PROGRAM.parent}{os.pathsep}{os.environ['PATH']}"
        env = dict(os.environ, PATH=path, **variables)
        result = subprocess.run(command, env=env, capture_output=True, text=True, timeout=60)
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        return result.stdout

    def test_bash_completes_commands_and_options(self):
        """Guard against a script that bash rejects or that completes nothing."""
        script = self.run_command(PROGRAM, _IBISPADDLE_COMPLETE="source_bash")

        def press_tab(*words):
            command = ("bash", "--norc", "-c", PRESS_TAB, "bash", script, "ibispaddle", *words)
            return self.run_command(*command).split()

        self.assertEqual(press_tab("up"), ["upstreams"])
        self.assertEqual(press_tab("upstreams", ""), ["drain", "restore"])
        self.assertEqual(press_tab("trace", "--js"), ["--json"])

    def test_zsh_script_requests_completions(self):
        """Guard against a script for another program, or a call that completes nothing."""
        script = self.run_command(PROGRAM, _IBISPADDLE_COMPLETE="source_zsh")
        self.assertTrue(script.lstrip().startswith("#compdef ibispaddle"), script)
        self.assertIn("_IBISPADDLE_COMPLETE=complete_zsh ibispaddle", script)
        words = {"_TYPER_COMPLETE_ARGS": "ibispaddle up"}
        completions = self.run_command(PROGRAM, _IBISPADDLE_COMPLETE="complete_zsh", **words)
        self.assertIn('"upstreams"', completions)


if __name__ == "__main__":
    unittest.main()
