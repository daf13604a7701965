"""Loopback ports for programs that are started again on the address they had.

A port that the system gave out and that was closed again may go to any other process before the program listens on it: to an outgoing
connection, which goes soon, or to a listener of another test, which stays for that test's life. So these ports lie below the range that
the system gives out, and each test process has a block of them to itself, held by a lock that ends with the process.
"""

import fcntl
import os
import socket
import tempfile

FIRST, BLOCK, BLOCKS = 12000, 64, 300  # 12000 to 31199; the system's range begins at 32768


class PortBlock:
    """The ports of this test process."""

    def __init__(self):
        self._lock, start = self._claim()
        self._left = iter(range(start, start + BLOCK))

    @staticmethod
    def _claim():
        folder = os.path.join(tempfile.gettempdir(), "jayjunction-ports")
        os.makedirs(folder, exist_ok=True)
        begin = os.getpid() % BLOCKS
        for step in range(BLOCKS):
            block = (begin + step) % BLOCKS
            lock = open(os.path.join(folder, str(block)), "w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return lock, FIRST + block * BLOCK
            except OSError:
                lock.close()
        raise RuntimeError("no block of ports is free")

    def take(self):
        """A port that nothing listens on, for TCP and UDP."""
        for port in self._left:
            try:
                with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                    tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    tcp.bind(("127.0.0.1", port))
                    udp.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
        raise RuntimeError("the block of ports is used up")


_block = None


def free_port():
    """The next port of this process's block."""
    global _block
    if _block is None:
        _block = PortBlock()
    return _block.take()
