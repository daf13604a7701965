"""A model engine: answers with a stream of events at a pace, in slots, and resumes at Last-Event-Id."""

import asyncio
import collections
import json
import time

import http11

EVENT_PACE_S = 0.02  # an event is about six steps of 3.09 ms and more


class Engine:
    """`lines(attempt)`: the data of the events of the answer to a request, the same at each run.

    `trouble(engine, connection, request)`, if set, is asked first for each POST; it returns None to have the request answered as usual, or
    "close" or "keep" for the connection.
    """

    def __init__(self, name, lines, record, slots=8, queue=24, trouble=None):
        self.name, self.lines, self.record, self.slots, self.queue, self.trouble = name, lines, record, slots, queue, trouble
        self.running, self.waiting = 0, 0
        self.runs = []  # attempt id of each request that it began to run
        self.has = collections.Counter()  # requests that run or wait here, by attempt id
        self.had = {}  # when it last had a request, by its attempt id
        self.free = asyncio.Condition()

    def entry(self, service, address, zone="north"):
        return {"service": service, "addr": address, "zone": zone, "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1700000000000}

    async def handle(self, connection, request):
        if request.method == "GET":
            body = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 1, "waiting": self.waiting, "running": self.running, "kvUsed": 0, "kvTotal": 134354, "handles": 0}
            return await connection.answer(200, json.dumps(body).encode(), {"X-Jayjunction-Instance-Id": self.name})
        attempt = request.header("X-Jayjunction-Attempt-Id")
        echo = {"X-Jayjunction-Attempt-Id": attempt}
        if request.header("X-Jayjunction-Expect-Instance", self.name) != self.name:
            return await connection.answer(421, b"", {**echo, "X-Jayjunction-Not-Executed": "1"})
        if self.trouble:
            outcome = await self.trouble(self, connection, request)
            if outcome is not None:
                return outcome != "close"
        if self.running >= self.slots and self.waiting >= self.queue:
            return await connection.answer(503, b"", {**echo, "X-Jayjunction-Not-Executed": "1"})
        return await self.run(connection, request, attempt, echo)

    def take(self, attempt):
        self.has[attempt] += 1

    def leave(self, attempt, how):
        self.has[attempt] -= 1
        self.had[attempt] = time.monotonic()
        self.record(f"{self.name} had {attempt}: {how}")

    async def run(self, connection, request, attempt, echo):
        self.take(attempt)
        how = "cut"
        try:
            if await self.run_taken(connection, request, attempt, echo):
                how = f"answered whole after event {request.header('Last-Event-Id', '0')}"
                return True
            return False
        finally:
            self.leave(attempt, how)

    async def run_taken(self, connection, request, attempt, echo):
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        self.runs.append(attempt)
        try:
            await connection.send(http11.head_of(200, {**echo, "X-Jayjunction-Response-Seal": f"seal.{self.name}.{attempt}", "X-Jayjunction-Weight-Versions": "1", "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            loop = asyncio.get_running_loop()
            lines, done = self.lines(attempt), int(request.header("Last-Event-Id", "0"))
            start = loop.time()
            for number in range(done, len(lines)):
                await asyncio.sleep(max(0, start + EVENT_PACE_S * (number - done + 1) - loop.time()))
                if connection.reader.at_eof():
                    return False  # its caller has closed: it drops the request
                await connection.chunk(f"id: {number + 1}\ndata: {lines[number]}\n\n".encode())
            await connection.send(b"0\r\n\r\n")
            return True
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()
