"""Loopback ports and hosts for programs that are started again on the address they had.

A port that the system gave out and that was closed again may go to any other process before the program listens on it: to an outgoing
connection, which goes soon, or to a listener of another test, which stays for that test's life. So these ports lie below the range that
the system gives out, and each test process has blocks of them to itself, held by locks that end with the process.
"""

import fcntl
import os
import socket
import tempfile

FIRST, BLOCK, BLOCKS = 12000, 64, 300  # 12000 to 31199; the system's range begins at 32768
FIRST_NET, NETS = 10, 240  # 127.10.0.0 to 127.249.0.0


def claims(what, count):
    """Numbers below `count` that no other process holds, each with the lock that holds it until the lock is closed."""
    folder = os.path.join(tempfile.gettempdir(), f"jayjunction-{what}")
    os.makedirs(folder, exist_ok=True)
    begin = os.getpid() % count
    for step in range(count):
        number = (begin + step) % count
        lock = open(os.path.join(folder, str(number)), "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        yield lock, number


class PortBlock:
    """The ports of this test process."""

    def __init__(self):
        self._lock, start = self._claim()
        self._left = iter(range(start, start + BLOCK))

    @staticmethod
    def _claim():
        for lock, block in claims("ports", BLOCKS):
            return lock, FIRST + block * BLOCK
        raise RuntimeError("no block of ports is free")

    def take(self):
        """A port that nothing listens on, for TCP and UDP; none if the block is used up."""
        for port in self._left:
            if is_free("127.0.0.1", port):
                return port
        return None


class HostBlock:
    """Loopback addresses of this test process: one network 127.NET.0.0 that no other test process uses."""

    def __init__(self, count, ports):
        """`ports`: that all of the hosts must have free, for TCP and UDP."""
        for lock, net in claims("hosts", NETS):
            hosts = [f"127.{FIRST_NET + net}.0.{n}" for n in range(1, count + 1)]
            # Programs of a test process that was killed may still listen there.
            if all(is_free(host, port) for host in hosts for port in ports):
                self._lock, self.hosts = lock, hosts
                return
            lock.close()
        raise RuntimeError("no loopback network is free")


def is_free(host, port):
    """Nothing listens there, for TCP and UDP."""
    try:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind((host, port))
            udp.bind((host, port))
        return True
    except OSError:
        return False


_blocks = []


def free_port():
    """The next port of this process's blocks."""
    port = _blocks[-1].take() if _blocks else None
    while port is None:
        _blocks.append(PortBlock())
        port = _blocks[-1].take()
    return port
