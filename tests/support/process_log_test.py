"""What a test reads of a process that writes meanwhile."""

import subprocess
import sys
import unittest

from process_log import ProcessLog

LINES = 20000
WRITER = f"""
import os
for number in range({LINES}):
    os.write(1, b"%d\\n" % number)
"""


class ProcessLogs(unittest.TestCase):
    def test_lines_stay_whole_while_the_log_is_read(self):
        """Guards against lines that are overwritten because a read has moved the place at which the process writes."""
        log = ProcessLog()
        writer = subprocess.Popen([sys.executable, "-c", WRITER], stdout=log.output)
        while writer.poll() is None:
            lines = log.lines()
            self.assertEqual(lines, [str(number) for number in range(len(lines))])
        self.assertEqual(log.lines(), [str(number) for number in range(LINES)])


if __name__ == "__main__":
    unittest.main()
