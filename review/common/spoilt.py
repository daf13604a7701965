"""Engines that hand out wrong bytes, inside the dose of the site file: a share of them, for some seconds, one answer in fifty."""

import asyncio
import time

import fleet as fleets
import http11
from deployment import lines_of
from engine import EVENT_PACE_S

IN_TROUBLE = ("i-00000000", "i-00000001")  # of six, a share of 0.33
SECONDS = 5.5
LEAST_ANSWERS = 50  # of the engines in trouble in that time, of which one is spoilt: 0.02 of them


class OneSpoiltAnswer:
    """Spoils one event of the first item that reaches an engine in trouble. `event_bytes(number, line)`: what it sends for each event."""

    def __init__(self, record, event_bytes):
        self.record, self.event_bytes = record, event_bytes
        self.until, self.answers, self.victim = 0, 0, None

    def begin(self):
        self.until = time.monotonic() + SECONDS
        self.record(f"engines {', '.join(IN_TROUBLE)} are in trouble for {SECONDS} s" if fleets.is_trouble() else f"{SECONDS} s without trouble")

    async def end(self):
        await asyncio.sleep(max(0, self.until - time.monotonic()))
        self.record(f"these engines began {self.answers} answers in this time; spoilt: {self.victim}")
        if self.answers < LEAST_ANSWERS:
            raise fleets.CannotRun(f"one spoilt answer of {self.answers} is more than the dose")
        if fleets.is_trouble() and not self.victim:
            raise fleets.CannotRun("no item reached an engine in trouble")

    async def __call__(self, engine, connection, request):
        if time.monotonic() >= self.until or engine.name not in IN_TROUBLE:
            return None
        self.answers += 1
        attempt = request.header("X-Jayjunction-Attempt-Id")
        is_first = not request.header("Last-Event-Id")
        if not fleets.is_trouble() or self.victim or not attempt.startswith("job") or not is_first:
            return None
        self.victim = attempt
        self.record(f"{engine.name} spoils its answer to item {attempt}")
        engine.take(attempt)
        try:
            return await self.answer(engine, connection, attempt)
        finally:
            engine.leave(attempt, "spoilt")

    async def answer(self, engine, connection, attempt):
        await connection.send(http11.head_of(200, {"X-Jayjunction-Attempt-Id": attempt, "X-Jayjunction-Response-Seal": f"seal.{engine.name}.{attempt}", "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number, line in enumerate(lines_of(attempt), 1):
            await asyncio.sleep(EVENT_PACE_S)
            if connection.reader.at_eof():
                return "close"
            await connection.chunk(self.event_bytes(number, line))
        await connection.send(b"0\r\n\r\n")
        return "keep"


async def callers(day, count, seconds):
    """Questions beside the job, at both entries. Returns how many ended with each status."""
    until, statuses = time.monotonic() + seconds, {}

    async def caller(number):
        n = 0
        while time.monotonic() < until:
            n += 1
            status = (await day.ask(day.entries[number % 2], "avail", f"ask{number}x{n}")).status
            statuses[status] = statuses.get(status, 0) + 1

    await asyncio.gather(*(caller(number) for number in range(count)))
    return statuses
