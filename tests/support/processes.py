"""Starting, freezing and ending the processes of a test run; standard library only.

Every process is a child of the test and is ended by its own id. Ports are chosen by the system: a program prints
`listening IP:PORT` as its first line.
"""

import http.client
import json
import os
import pathlib
import queue
import signal
import subprocess
import threading
import time

# How long a step of a run may take before the run counts as failed; no verdict depends on anything being faster than this.
BOUND = 30.0


def bin_folder():
    """Where the built programs are: $JJ_BIN, or build/bin beside this source tree."""
    root = pathlib.Path(__file__).resolve().parents[2]
    return pathlib.Path(os.environ.get("JJ_BIN", root / "build" / "bin"))


class Process:
    """One running program."""

    def __init__(self, program, *arguments, log=None):
        self.command = [str(bin_folder() / program), *map(str, arguments)]
        self._log = open(log, "ab") if log else subprocess.DEVNULL
        self.child = subprocess.Popen(self.command, stdout=subprocess.PIPE, stderr=self._log, text=True)
        self._lines = queue.Queue()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        self.address = self.line().split()[-1]

    def _read(self):
        for line in self.child.stdout:
            self._lines.put(line.strip())
        self._lines.put("")

    def line(self):
        """The next line of its standard output."""
        try:
            line = self._lines.get(timeout=BOUND)
        except queue.Empty:
            line = ""
        if not line:
            self.kill()
            raise RuntimeError(f"{self.command[0]} said nothing")
        return line

    def kill(self):
        """Ends it at once, as the loss of its host does."""
        self.child.kill()
        self.child.wait()
        self._close()

    def stop(self):
        """SIGTERM; gives its exit code."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        try:
            code = self.child.wait(timeout=BOUND)
        except subprocess.TimeoutExpired:
            self.kill()
            raise
        self._close()
        return code

    def freeze(self):
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.child.send_signal(signal.SIGCONT)

    def is_running(self):
        return self.child.poll() is None

    def faults(self, **switches):
        """Turns fault switches of a stand-in; gives the state of all."""
        return request(self.address, "POST", "/fakes/faults", json.dumps(switches)).json()

    def _close(self):
        self._reader.join()
        self.child.stdout.close()
        if self._log is not subprocess.DEVNULL:
            self._log.close()
            self._log = subprocess.DEVNULL


def start_on_known_port(start):
    """Starts a program on a port that was chosen before; gives what `start` gives.

    A connection of the program's earlier process may still hold the port for a moment, so the start is tried again for a while.
    """
    tries = 40
    for number in range(tries):
        try:
            return start()
        except RuntimeError:
            if number + 1 == tries:
                raise
            time.sleep(0.25)


class Answer:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = response.read()

    def json(self):
        return json.loads(self.body)

    def text(self):
        return self.body.decode()


def connect(address, timeout=BOUND):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def request(address, method, path, body=None, headers=None, timeout=BOUND):
    """One request on a fresh connection."""
    connection = connect(address, timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        return Answer(connection.getresponse())
    finally:
        connection.close()


def chat(prompt, tokens, **more):
    """Body of a chat completion request."""
    return json.dumps({"model": "m", "messages": [{"role": "user", "content": prompt}], "max_tokens": tokens, **more})


def stream_tokens(lines):
    """Positions, text and completeness of a streamed answer, from its lines."""
    positions, text, whole = [], "", False
    for line in lines:
        line = line.strip()
        if line == b"data: [DONE]":
            whole = True
        elif line.startswith(b"data: "):
            event = json.loads(line[6:])
            if "choices" in event:
                positions.append(event["position"])
                text += event["choices"][0]["delta"]["content"]
    return positions, text, whole
