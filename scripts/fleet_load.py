"""Questions and jobs against a fleet as a balancer and its callers send them, for tests and measures.

The balancer follows /readyz, as the platform's does: a node that is not ready gets no new question.
"""

import http.client
import json
import threading
import time

from fleet import http as call

READY_SECONDS = 0.1  # how often the balancer looks
STREAM_SECONDS = 30
TOKENS = 12


class Balancer(threading.Thread):
    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.ready, self.stopped, self.turn = fleet, list(fleet.nodes), False, 0

    def run(self):
        while not self.stopped:
            self.ready = [node for node in list(self.fleet.nodes) if self.is_ready(node)]
            time.sleep(READY_SECONDS)

    @staticmethod
    def is_ready(node):
        try:
            return node.running() and call("GET", node.operators + "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def pick(self):
        ready = self.ready
        self.turn += 1
        return ready[self.turn % len(ready)] if ready else None


class Load:
    """Askers that each stream one question after another; counts what came of them."""

    def __init__(self, fleet, service, askers):
        self.balancer, self.service = Balancer(fleet), service
        self.lock = threading.Lock()
        self.answered = self.refused = self.cut = 0
        self.notes, self.first_token_ms = [], []
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True) for number in range(askers)]

    def start(self):
        self.balancer.start()
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()
        self.balancer.stopped = True

    def wait_for(self, answered, seconds=60):
        until = time.monotonic() + seconds
        while self.answered < answered:
            if time.monotonic() > until:
                raise RuntimeError(f"{self.answered} of {answered} questions answered within {seconds} s; {self.notes[:3]}")
            time.sleep(0.02)

    def run(self, number):
        sequence = 0
        while not self.stopped:
            node = self.balancer.pick()
            if node is None:
                time.sleep(READY_SECONDS)
                continue
            sequence += 1
            self.ask(node, f"Question {sequence} of asker {number}")

    def ask(self, node, text):
        outcome, note = "cut", ""
        began = time.monotonic()
        try:
            host, port = node.callers.rsplit(":", 1)
            connection = http.client.HTTPConnection(host, int(port), timeout=STREAM_SECONDS)
            connection.connect()
        except ConnectionRefusedError:
            return  # the node is down and the balancer hasn't seen it yet: it tries another, no caller notices
        try:
            body = {"model": self.service, "stream": True, "max_tokens": TOKENS, "messages": [{"role": "user", "content": text}]}
            connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Content-Type": "application/json"})
            answer = connection.getresponse()
            answer_line = answer.readline()
            first = 1000 * (time.monotonic() - began)
            rest = answer_line + answer.read()
            if answer.status != 200:
                outcome, note = "refused", rest.decode(errors="replace")
            elif rest.endswith(b"data: [DONE]\n\n"):
                outcome = "answered"
            else:
                note = rest[-200:].decode(errors="replace")
        except (OSError, http.client.HTTPException) as error:
            note = repr(error)
        connection.close()
        with self.lock:
            setattr(self, outcome, getattr(self, outcome) + 1)
            if outcome == "answered":
                self.first_token_ms.append(first)
            else:
                self.notes.append(f"{outcome} at {node.name}: {note}")


def submit(node, service, items, text="Write letter {}"):
    lines = [json.dumps({"custom_id": f"letter-{n}", "body": {"messages": [{"role": "user", "content": text.format(n)}], "max_tokens": TOKENS}}) for n in range(items)]
    status, _, body = call("POST", node.callers + "/v1/jobs", "\n".join(lines).encode(), {"Service": service, "Deadline": "10m"})
    if status != 201:
        raise RuntimeError(f"job refused: {status} {body.decode()}")
    return json.loads(body)["id"]


def results_of(node, job):
    """The custom_id of each result line."""
    body = call("GET", node.callers + "/v1/jobs/" + job + "/results", timeout=30)[2]
    return [json.loads(line)["custom_id"] for line in body.decode().splitlines()]
