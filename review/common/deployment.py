"""A small deployment after the sheet of the booking tier: two entries, two workers, some engines, a store, and its callers."""

import asyncio
import base64
import json
import random
import time

import fleet as fleets
import http11
from engine import Engine
from store import Store

HOST = "umthunzi.example"
EVENTS, EVENT_BYTES = 219, 60  # of an item, on the sheet and in the site file
ROUTE = {"host": HOST, "service": "bookhelp", "sticky": True, "gapAimMs": 400}
CONFIG = {
    "version": 3,
    "routes": [
        {**ROUTE, "name": "avail-ask", "pathPrefix": "/avail/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 1, "resumable": False, "priority": 0},
        {**ROUTE, "name": "rules-ask", "pathPrefix": "/rules/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 2, "resumable": True, "priority": 0},
        {**ROUTE, "name": "confirm-pack", "pathPrefix": "/packs/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "runTargetMs": 18000, "maxWaitS": 60, "resumable": True, "priority": 2},
    ],
    "services": [{"name": "bookhelp", "healthPath": "/health", "maxConns": 230}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


def lines_of(attempt):
    """Questions have 32 events; items about 219, spread by a quarter. The same at each run."""
    count = 32 if attempt.startswith("ask") else int(EVENTS * random.Random(attempt).uniform(0.75, 1.25))
    return [f"{attempt}.{n} ".ljust(EVENT_BYTES, "x") for n in range(1, count + 1)]


def text_of(item):
    return "\n".join(lines_of(item))


class Deployment:
    def __init__(self, record, fleet):
        self.record, self.fleet, self.store, self.engines = record, fleet, Store(record), []
        self.entries, self.workers = [], []
        self.accepted = None  # when the last job was

    async def start_engines(self, first, count, trouble=None):
        started = []
        for n in range(first, first + count):
            engine = Engine(f"i-{n:08x}", lines_of, self.record, trouble=trouble)
            engine.server = await http11.serve(self.fleet.host(100 + n), self.fleet.base + 3, engine.handle)
            self.store.put("servers", engine.name, engine.entry("bookhelp", f"{self.fleet.host(100 + n)}:{self.fleet.base + 3}"))
            started.append(engine)
        self.engines += started
        return started

    async def start(self, engines, trouble=None):
        await http11.serve(self.fleet.host(1), self.fleet.base, self.store.handle)
        self.store.put("config", "main", CONFIG)
        await self.start_engines(0, engines, trouble)
        self.entries = [self.fleet.node(n, "entry") for n in (11, 12)]
        self.workers = [self.fleet.node(n, "worker") for n in (21, 22)]
        for node in self.entries + self.workers:
            self.start_node(node)
        for node in self.entries:
            if not await fleets.wait_until(node.is_ready, 15):
                raise fleets.CannotRun("a node never became ready")
        await asyncio.sleep(4)  # batch work uses all of its slots some seconds after a start
        if not all(node.is_running() for node in self.entries + self.workers):
            raise fleets.CannotRun("a process ended before the case began")

    def start_node(self, node):
        node.start(f"{self.fleet.host(1)}:{self.fleet.base}", [f"{self.fleet.host(n)}:{self.fleet.base + 2}" for n in (11, 12)])

    async def submit(self, job, count):
        """Sends the job until an entry answers 202, as its caller does. Returns the ids of its items."""
        ids = [f"{job}i{n}" for n in range(count)]
        items = [{"id": one, "path": f"/packs/{job}/{one}", "headers": {"X-Jayjunction-Model": "m", "X-Jayjunction-Token-Counts": "350,350"}, "body": base64.b64encode(f"letter {one}".encode()).decode(), "tokens": 700} for one in ids]
        for attempt in range(10):
            node = self.entries[attempt % len(self.entries)]
            headers = {"Host": HOST, "X-Jayjunction-Attempt-Id": job, "X-Jayjunction-Deadline-Ms": "4000", "Content-Type": "application/json"}
            answer = await node.fetch("POST", f"/packs/{job}", headers, json.dumps({"items": items}).encode())
            self.record(f"job {job} with {count} items to {node.name}: {answer.status}")
            if answer.status == 202:
                self.accepted = time.monotonic()
                return ids
            await asyncio.sleep(0.5)
        raise fleets.CannotRun(f"job {job} was never accepted")

    async def read(self, job):
        """Total and results of a job; total is None if no entry tells."""
        total, results = None, []
        for step in range(40):
            node = self.entries[step % len(self.entries)]
            answer = await node.fetch("GET", f"/lots/{job}?after={len(results)}", {"Host": HOST})
            self.record(f"read of {job} after {len(results)} at {node.name}: {answer.status}, {len(answer.body)} bytes")
            if answer.status != 200:
                await asyncio.sleep(0.1)
                continue
            body = json.loads(answer.body)
            total = body["total"]
            results += body["results"]
            if not body["results"]:
                break
        return total, results

    async def wait_done(self, job, seconds):
        """Reads the job until all of its items are listed, for so long at most. Returns total and results."""

        async def is_done():
            total, results = await self.read(job)
            return total is not None and len(results) == total

        await fleets.wait_until(is_done, seconds, 0.5)
        return await self.read(job)

    async def ask(self, node, path, name):
        """A question; path "avail" may run once, "rules" may be resumed."""
        headers = {"Host": HOST, "X-Jayjunction-Attempt-Id": name, "X-Jayjunction-Deadline-Ms": "5000", "X-Jayjunction-Model": "m", "X-Jayjunction-Token-Counts": "350,32"}
        answer = await node.fetch("POST", f"/{path}/{name}", headers, b"Is shelter 12 free on Saturday?")
        self.record(f"question {name} to {node.name}: {answer.status}, {'complete' if answer.whole else 'cut'}, {len(answer.body)} bytes")
        return answer

    def lost(self, ids, results, spoilt=None):
        """The items that aren't listed, unless the rule excuses that: an engine had an unlisted item of the job in the last 5 s, or an item of any
        job ended in the last 3 s, or the engines are half full. `spoilt`: an item that isn't judged, but excuses the others."""
        missing = sorted(set(ids) - {result["id"] for result in results})
        now = time.monotonic()
        ages = [(attempt, now - moment) for engine in self.engines for attempt, moment in engine.had.items() if not attempt.startswith("ask")]
        had = any(engine.has[item] > 0 for engine in self.engines for item in missing) or any(age < 5 for attempt, age in ages if attempt in missing)
        ended = any(age < 3 for _, age in ages)
        is_full = self.running() * 2 >= sum(engine.slots for engine in self.engines)
        self.record(f"not listed: {len(missing)}, first {missing[:5]}; an engine had one in the last 5 s: {had}; an item of any job ended in the last 3 s: {ended}; requests that engines run: {self.running()}")
        return [] if had or ended or is_full else [one for one in missing if one != spoilt]

    def running(self):
        return sum(engine.running for engine in self.engines)

    def record_log(self, nodes, events, request=None, most=8):
        for node in nodes:
            for line in [one for one in node.events(*events) if request in (None, one.get("request"))][:most]:
                self.record(f"{node.name} logs: {line}")
