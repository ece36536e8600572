"""Log lines while nobody reads them."""

import os
import unittest

from ibispaddle_daemon.logs import MAX_PENDING_BYTES, NonBlockingStream


class NonBlockingStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.stream = NonBlockingStream(writer)

    def write(self, lines: int) -> None:
        for number in range(lines):
            self.stream.write(f"{number:0999}\n")
            self.stream.flush()

    def test_slow_reader_does_not_stop_the_process(self) -> None:
        """Guards against an instance that waits for the reader of its log."""
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
        # Whole lines in their order; those that are missing are counted.
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(numbers) + self.stream.dropped, lines)

    def test_reader_that_is_gone(self) -> None:
        """Guards against an instance that ends with the reader of its log."""
        os.close(self.reader)
        self.write(3)
        self.assertEqual(self.stream.dropped, 3)


if __name__ == "__main__":
    unittest.main()
