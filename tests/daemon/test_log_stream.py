"""Tests of log output that is read slowly or not at all."""

import os
import unittest

from ibispaddle_daemon.log_lines import MAX_PENDING_BYTES, NonBlockingStream


class NonBlockingStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.stream = NonBlockingStream(writer)

    def write(self, lines: int) -> None:
        for number in range(lines):
            self.stream.write(f"{number:0999}\n")
            self.stream.flush()

    def test_slow_log_reader_does_not_block_the_process(self) -> None:
        """Guard against an instance that blocks on the reader of its log."""
        lines = 2 * MAX_PENDING_BYTES // 1_000
        self.write(lines)
        self.assertGreater(self.stream.dropped, 0)
        text = b""
        os.set_blocking(self.reader, False)
        while True:
            try:
                text += os.read(self.reader, 1_000_000)
            except BlockingIOError:
                break
            self.stream.flush()
        os.close(self.reader)
        numbers = [int(line) for line in text.decode().splitlines()]
        # Only complete lines arrive, in order, and the dropped lines are counted.
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(numbers) + self.stream.dropped, lines)

    def test_closed_log_reader_does_not_end_the_process(self) -> None:
        """Guard against an instance that ends when the reader of its log closes the pipe."""
        os.close(self.reader)
        self.write(3)
        self.assertEqual(self.stream.dropped, 3)


if __name__ == "__main__":
    unittest.main()
