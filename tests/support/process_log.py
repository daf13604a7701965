"""The standard output of a process, which a test reads while the process writes; standard library only."""

import tempfile


class ProcessLog:
    """A file of lines.

    The process appends, and each read opens the file anew. With one open file for both, a read would move the place at which the process
    writes, and its next lines would overwrite the first ones.
    """

    def __init__(self, keep=False):
        """`keep`: the file stays when the test ends."""
        self._file = tempfile.NamedTemporaryFile("a", suffix=".log", delete=not keep)

    @property
    def path(self):
        return self._file.name

    @property
    def output(self):
        """For the `stdout` of a new process."""
        return self._file

    def text(self):
        with open(self.path) as file:
            return file.read()

    def lines(self):
        """The lines that are written to their end."""
        return self.text().rpartition("\n")[0].splitlines()
