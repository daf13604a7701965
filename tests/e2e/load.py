"""Mixed load for failure runs: questions, one job and at-most-once calls; each caller records what it was promised.

The records are what `jj audit --records` reads. A caller believes only what it received: an answer cut off in the middle is no
answer, a connection that broke leaves an at-most-once call's outcome unknown.
"""

import http.client
import json
import random
import threading
import time

from processes import chat, connect, request, stream_tokens

BROKEN = (OSError, http.client.HTTPException, ValueError)
# The batch's own items that can never be done: one is refused by every engine, one crashes whichever runs it.
IMPOSSIBLE = {7: "FAIL-THIS-ITEM", 23: "CRASH-THE-ENGINE"}


class Records:
    """Promises to callers, in the form that jj audit reads, and what contradicts them at once."""

    def __init__(self, path):
        path.touch()
        self._lock = threading.Lock()
        self.path = path
        self.counts = {}
        self.findings = []

    def write(self, **record):
        with self._lock:
            with open(self.path, "a") as file:
                file.write(json.dumps(record) + "\n")

    def count(self, name):
        with self._lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def find(self, finding):
        with self._lock:
            self.findings.append(finding)


class Caller(threading.Thread):
    """A caller that goes on until it is asked to stop, on a node of its seeded choice each time."""

    def __init__(self, fleet, records, seed):
        super().__init__(daemon=True)
        self.fleet, self.records = fleet, records
        self.random = random.Random(seed)
        self.stopped = threading.Event()
        self.number = 0

    def run(self):
        while not self.stopped.is_set():
            self.number += 1
            try:
                self.call_once(self.random.choice(self.fleet.nodes).callers)
            except BROKEN:
                self.records.count(self.kind + " broken")
                time.sleep(0.05)

    def refused(self, answer):
        """Counts a typed refusal; an answer without a type is a finding."""
        try:
            run = answer.json()["error"]["run"]
        except (ValueError, KeyError, TypeError):
            self.records.find(f"{self.kind}: status {answer.status} without a typed error: {answer.body[:200]!r}")
            return "outcomeUnknown"
        self.records.count(f"{self.kind} {run}")
        return run


class Asker(Caller):
    kind = "question"

    def call_once(self, node):
        prompt = f"question {self.name} {self.number} is shelter {self.random.randrange(40)} free on Saturday"
        tokens = self.random.randrange(4, 24)
        connection = connect(node)
        try:
            body = json.loads(chat(prompt, tokens, stream=True))
            body["model"] = "bookhelp"
            connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Content-Type": "application/json"})
            response = connection.getresponse()
            if response.status != 200:
                response.body = response.read()
                response.json = lambda: json.loads(response.body)
                return self.refused(response)
            positions, text, whole = stream_tokens(response)
        finally:
            connection.close()
        expected = request(self.fleet.reference.address, "POST", "/v1/chat/completions", chat(prompt, tokens)).json()
        expected = expected["choices"][0]["message"]["content"]
        if not expected.startswith(text) or (whole and text != expected):
            self.records.find(f"question: {positions} gave another answer than its own: {text!r}, not {expected!r}")
        self.records.count("question answered" if whole else "question cut off")


class Booker(Caller):
    kind = "booking"

    def call_once(self, node):
        key = f"{self.name}-{self.number}"
        run = "outcomeUnknown"
        try:
            answer = request(node, "POST", "/v1/services/bookings/bookings", f'{{"booking":"{key}"}}',
                             {"Idempotency-Key": key, "Content-Type": "application/json"})
            if answer.status < 300:
                run = "ran"
                self.records.count("booking ran")
            else:
                run = self.refused(answer)
        finally:
            self.records.write(key=key, run=run)
        time.sleep(0.02)


class Job:
    """One batch job: submitted again and again until it is acknowledged, read back when it ended."""

    def __init__(self, fleet, records, name, items):
        self.fleet, self.records, self.name, self.items = fleet, records, name, items
        self.id = None

    def lines(self):
        for index in range(self.items):
            prompt = f"letter {self.name} {index} {IMPOSSIBLE.get(index, '')}"
            body = json.loads(chat(prompt, 8))
            body["model"] = "bookhelp"
            yield json.dumps({"custom_id": f"item-{index}", "body": body})

    def submit(self):
        """Sends the whole job again until some node acknowledges it, as clients do."""
        body = "\n".join(self.lines()) + "\n"
        headers = {"Idempotency-Key": self.name, "Deadline": "10m", "Service": "bookhelp", "Content-Type": "application/x-ndjson"}
        for attempt in range(200):
            node = self.fleet.nodes[attempt % len(self.fleet.nodes)]
            try:
                answer = request(node.callers, "POST", "/v1/jobs", body, headers)
            except BROKEN:
                answer = None
            if answer is not None and answer.status // 100 == 2:
                self.id = answer.json()["id"]
                self.records.write(job=self.id, items=self.items)
                return
            time.sleep(0.1)
        raise RuntimeError(f"job {self.name} was never acknowledged: {answer and answer.body[:300]}")

    def status(self):
        for node in self.fleet.nodes:
            try:
                answer = request(node.callers, "GET", f"/v1/jobs/{self.id}", timeout=10)
                if answer.status == 200:
                    return answer.json()
            except BROKEN:
                pass
        return {}

    def is_done(self):
        return self.status().get("state") in ("done", "cancelled")

    def check_results(self):
        """Reads the results from each node: all the same, one line for each item."""
        seen = None
        for node in self.fleet.nodes:
            answer = request(node.callers, "GET", f"/v1/jobs/{self.id}/results")
            lines = answer.text().splitlines()
            if seen is not None and lines != seen:
                self.records.find(f"job {self.name}: nodes give different results")
            seen = lines
        for line in seen:
            self.records.write(result=self.id, line=line)
        ids = sorted(json.loads(line)["custom_id"] for line in seen)
        if ids != sorted(f"item-{index}" for index in range(self.items)):
            self.records.find(f"job {self.name}: {len(ids)} result lines for {self.items} items")
        return seen
