"""jjnode from its first instruction to its last: it ends by SIGTERM, SIGINT, SIGKILL, a drain or refused settings and by nothing else."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from ports import free_port  # noqa: E402
from processes import bin_folder, request  # noqa: E402

BOUND_SECONDS = 20  # for a step that takes well under a second on an idle machine
REFUSED = 2  # exit code for settings that are refused
HELD_SECONDS = 2  # how long an address stays taken
MORE_THAN_THREADS = 6  # lines, each of which would block a thread
# A stray one of these ends a process that neither handles nor ignores it.
STRAY_SIGNALS = [signal.SIGPIPE, signal.SIGXFSZ, signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF, signal.SIGIO, signal.SIGPWR]


class NodeLifeTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="jayjunction-life-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.settings, self.key, self.log, self.output = (self.folder / name for name in ("node.ini", "key", "log", "output"))
        self.callers, self.operators, self.peers, store = (f"127.0.0.1:{free_port()}" for _ in range(4))
        self.key.write_text("5e" * 32)
        self.text = f"""[node]
failure-domain = north
region = land
callers = {self.callers}
operators = {self.operators}
peers-listen = {self.peers}
key-file = {self.key}
[platform]
store = {store}
"""
        self.settings.write_text(self.text)
        self.log.touch()
        self.output.touch()

    def start(self, **how):
        """`how`: further arguments of Popen."""
        for stream, path in (("stdout", self.output), ("stderr", self.log)):
            how[stream] = how.get(stream) or open(path, "ab")
        process = subprocess.Popen([bin_folder() / "jjnode", "--config", self.settings], **how)
        self.addCleanup(self.end, process, [file for file in how.values() if hasattr(file, "close")])
        return process

    @staticmethod
    def end(process, files):
        if process.poll() is None:
            process.kill()
        process.wait()
        for file in files:
            file.close()

    def until(self, what, condition):
        end = time.monotonic() + BOUND_SECONDS
        while time.monotonic() < end:
            if value := condition():
                return value
            time.sleep(0.02)
        return self.fail(f"not within {BOUND_SECONDS} s: {what}; log: {self.log.read_text()[-2000:]}")

    def lines(self, event, path=None):
        whole = (path or self.log).read_text().rpartition("\n")[0].splitlines()
        return [line for line in (json.loads(text) for text in whole if text.startswith("{")) if line["event"] == event]

    def answers(self):
        try:
            return request(self.operators, "GET", "/readyz", timeout=5).status > 0
        except OSError:
            return False

    def wait_started(self, process):
        self.until("the node answers, or has ended", lambda: process.poll() is not None or self.answers())
        self.assertIsNone(process.poll(), self.log.read_text())

    def check_lives(self, process, after):
        self.assertTrue(self.answers(), after)
        self.assertIsNone(process.poll(), after)

    def check_stops(self, process):
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=BOUND_SECONDS), 0)

    def started_on_a_pipe(self):
        """A process that waits for its settings, and a function that hands them over."""
        self.settings.unlink()
        os.mkfifo(self.settings)
        process = self.start()

        def opened():
            try:
                return os.open(self.settings, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None  # nobody reads yet

        writer = self.until("the settings are being read", opened)

        def hand_over():
            os.write(writer, self.text.encode())
            os.close(writer)

        return process, hand_over

    # Guards against a node that a signal without a meaning to it ends.
    def test_stray_signals_do_not_end_a_node_that_serves(self):
        process = self.start()
        self.wait_started(process)
        for number in [signal.SIGHUP, *STRAY_SIGNALS]:
            process.send_signal(number)
            time.sleep(0.02)
            self.check_lives(process, signal.Signals(number).name)
        self.until("SIGHUP is logged", lambda: self.lines("reloadIgnored"))
        self.check_stops(process)
        self.assertTrue(self.lines("drainDone"))

    # Guards against signals that end a node before it has begun to handle them.
    def test_stray_signals_do_not_end_a_node_that_starts(self):
        process, hand_over = self.started_on_a_pipe()
        for number in [signal.SIGHUP, *STRAY_SIGNALS]:
            process.send_signal(number)
            time.sleep(0.02)
            self.assertIsNone(process.poll(), signal.Signals(number).name)
        hand_over()
        self.wait_started(process)
        self.check_stops(process)

    # Guards against a stop that looks like a failure because it came early.
    def test_signals_while_a_node_is_being_loaded_do_not_end_it(self):
        """The dynamic linker waits for a library: a pipe is found in place of the file."""
        libraries = self.folder / "libraries"
        libraries.mkdir()
        os.mkfifo(libraries / "libstdc++.so.6")
        process = self.start(env={**os.environ, "LD_LIBRARY_PATH": str(libraries)})

        def opened():
            try:
                return os.open(libraries / "libstdc++.so.6", os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None  # nobody reads yet

        self.until("the library is being read", opened)
        for number in [signal.SIGHUP] * 3 + STRAY_SIGNALS:
            process.send_signal(number)
            time.sleep(0.02)
            self.assertIsNone(process.poll(), signal.Signals(number).name)
        self.check_stops(process)

    def test_a_stop_at_start_ends_a_node_with_0(self):
        process, _ = self.started_on_a_pipe()
        self.check_stops(process)
        self.assertTrue(self.lines("stopped", self.output))

    @staticmethod
    def full_pipe():
        """Both ends of a pipe that accepts no further byte."""
        read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        try:
            while True:
                os.write(write_end, b"x" * 4096)
        except BlockingIOError:
            pass
        os.set_blocking(write_end, True)
        return os.fdopen(read_end, "rb", buffering=0), os.fdopen(write_end, "wb", buffering=0)

    # Guards against a node that its log blocks, and a log that stays silent once it was full.
    def test_a_log_that_is_read_late_does_not_block_a_node_and_goes_on(self):
        reader, writer = self.full_pipe()
        process = self.start(stderr=writer)
        self.addCleanup(reader.close)
        writer.close()
        self.wait_started(process)
        for _ in range(MORE_THAN_THREADS):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
        self.check_lives(process, "an unread log")
        os.set_blocking(reader.fileno(), False)
        text = b""

        def went_on():
            nonlocal text
            process.send_signal(signal.SIGHUP)
            text += reader.read() or b""
            return text.count(b'"reloadIgnored"') > MORE_THAN_THREADS

        self.until("lines from before and after", went_on)
        lines = text.lstrip(b"x").splitlines()
        self.assertEqual(json.loads(lines[0])["event"], "listening")
        self.check_stops(process)

    # Guards against a node that ends because the reader of its log is gone, and a log that stays silent for the next reader.
    def test_a_log_goes_on_when_a_reader_is_back(self):
        path = self.folder / "log.pipe"
        os.mkfifo(path)
        first = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        process = self.start(stderr=open(path, "wb", buffering=0))
        self.wait_started(process)
        os.close(first)
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
            self.check_lives(process, "a log without a reader")
        with os.fdopen(os.open(path, os.O_RDONLY | os.O_NONBLOCK), "rb", buffering=0) as second:
            self.until("the log goes on", lambda: process.send_signal(signal.SIGHUP) or b'"reloadIgnored"' in (second.read() or b""))
        self.check_stops(process)

    # Guards against a node that never ends because its first line is never read.
    def test_standard_output_that_nobody_reads_does_not_hold_a_node(self):
        reader, writer = self.full_pipe()
        self.addCleanup(reader.close)
        process = self.start(stdout=writer)
        writer.close()
        self.wait_started(process)
        self.check_stops(process)

    # Guards against signals that end a node while it drains.
    def test_signals_beside_a_drain_do_not_end_a_node(self):
        process = self.start()
        self.wait_started(process)
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + BOUND_SECONDS
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        self.assertEqual(process.poll(), 0)

    @staticmethod
    def hold(address, kind):
        holder = socket.socket(socket.AF_INET, kind)
        # Connections of an earlier test may still hold the port in TIME_WAIT; other listeners are kept out all the same.
        if kind == socket.SOCK_STREAM:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = address.split(":")
        holder.bind((host, int(port)))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        return holder

    def check_waits_for(self, address, kind):
        holder = self.hold(address, kind)
        threading.Timer(HELD_SECONDS, holder.close).start()
        process = self.start()
        self.wait_started(process)
        waits = self.lines("startDelayed")
        self.assertTrue(waits)
        for line in waits:
            self.assertIn(address, line["cause"])
            self.assertIn("in use", line["cause"])
            self.assertGreater(line["retryMs"], 0)
        self.assertLess(len(os.listdir(f"/proc/{process.pid}/fd")), 60, "failed attempts leave no descriptors open")
        self.check_stops(process)

    # Each of the next four guards against a node that ends because another process holds one of its addresses for a while.
    def test_a_start_waits_for_the_address_of_callers(self):
        self.check_waits_for(self.callers, socket.SOCK_STREAM)

    def test_a_start_waits_for_the_address_of_operators(self):
        self.check_waits_for(self.operators, socket.SOCK_STREAM)

    def test_a_start_waits_for_the_address_of_links_between_nodes(self):
        self.check_waits_for(self.peers, socket.SOCK_STREAM)

    def test_a_start_waits_for_the_address_of_datagrams_between_nodes(self):
        self.check_waits_for(self.peers, socket.SOCK_DGRAM)

    # Guards against a node that doesn't start because it was started before the one before it had ended.
    def test_a_start_beside_a_drain_succeeds(self):
        process = self.start()
        self.wait_started(process)
        for _ in range(3):
            process.send_signal(signal.SIGTERM)
            following = self.start()
            self.assertEqual(process.wait(timeout=BOUND_SECONDS), 0)
            self.wait_started(following)
            process = following
        self.check_stops(process)

    # Guards against a node that ends because a file that it needs is written a moment later.
    def test_a_start_waits_for_settings_key_token_and_events(self):
        token, events = self.folder / "token", self.folder / "events" / "node.events"
        whole = self.text.replace("[platform]", f"token-file = {token}\nevents-file = {events}\n[platform]")
        self.settings.unlink()
        self.key.write_text("")
        process = self.start()
        steps = [("can't be read", lambda: self.settings.write_text("")),
                 ("can't be read", lambda: self.settings.write_text(whole[:60])),
                 ("missing", lambda: self.settings.write_text(whole)),
                 ("64 hex digits", lambda: self.key.write_text("5e" * 32)),
                 ("token file", lambda: token.write_text("word")),
                 ("events file", events.parent.mkdir)]
        seen = 0

        def names(cause):
            return any(cause in line["cause"] for line in self.lines("startDelayed")[seen:])

        for cause, step in steps:
            self.until(cause, lambda cause=cause: process.poll() is not None or names(cause))
            self.assertIsNone(process.poll(), cause)
            seen = len(self.lines("startDelayed"))
            step()
        self.wait_started(process)
        self.check_stops(process)

    # Guards against settings that are refused without a word or with another exit code, and a node that waits for better ones for ever.
    def test_refused_settings_end_a_node_with_2(self):
        self.settings.write_text(self.text + "no-such-key = 1\n")
        process = self.start()
        self.assertEqual(process.wait(timeout=BOUND_SECONDS), REFUSED)
        self.assertIn("no-such-key", self.lines("settingsRefused")[0]["faults"])
        plain = [line for line in self.log.read_text().splitlines() if not line.startswith("{")]
        self.assertTrue(any("no-such-key" in line for line in plain), plain)

    # Guards against a node that can't be stopped while it waits, or that SIGHUP ends then.
    def test_a_stop_ends_a_node_that_waits_at_once(self):
        with self.hold(self.callers, socket.SOCK_STREAM):
            process = self.start()
            self.until("the node waits, or has ended", lambda: process.poll() is not None or self.lines("startDelayed"))
            process.send_signal(signal.SIGHUP)
            time.sleep(0.3)
            self.assertIsNone(process.poll())
            self.check_stops(process)
            self.assertTrue(self.lines("stopped", self.output))

    # Guards against a node that ends by a fault of its own without a word.
    def test_a_node_that_crashes_names_the_signal(self):
        process = self.start()
        self.wait_started(process)
        process.send_signal(signal.SIGABRT)
        self.assertEqual(process.wait(timeout=BOUND_SECONDS), -signal.SIGABRT)
        self.assertEqual([(line["signal"], line["host"]) for line in self.lines("crashed", self.output)], [("SIGABRT", self.peers)])

    # Guards against sockets that get the number of a closed standard stream, and log lines that are sent over them.
    def test_closed_standard_streams_do_not_become_sockets(self):
        def close_all():
            for number in (0, 1, 2):
                os.close(number)

        process = self.start(preexec_fn=close_all)
        self.wait_started(process)
        targets = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in (0, 1, 2)]
        self.assertEqual(targets, ["/dev/null"] * 3)
        self.check_stops(process)


if __name__ == "__main__":
    unittest.main(verbosity=2)
