"""One engine spoils one event of one item of a job. Are the other items of the job listed?"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common"))
import fleet as fleets  # noqa: E402
import http11  # noqa: E402
from deployment import Deployment, lines_of, text_of  # noqa: E402
from engine import EVENT_PACE_S  # noqa: E402

ENGINES, ITEMS, VICTIM = 6, 10, "jobi4"
SPOILT_EVENT = 6
WRONG_BYTES = b"\xff\xfe\xf0\x80"  # no text in UTF-8


class Spoilt:
    """The first answer to the item has wrong bytes in the data of one event. HOW=cut: and its connection is reset after it."""

    def __init__(self, record):
        self.record, self.begun = record, 0

    async def __call__(self, engine, connection, request):
        item = request.header("X-Jayjunction-Attempt-Id")
        if not fleets.is_trouble() or item != VICTIM or self.begun:
            return None
        self.begun += 1
        self.record(f"{engine.name} spoils event {SPOILT_EVENT} of item {item}")
        await connection.send(http11.head_of(200, {"X-Jayjunction-Attempt-Id": item, "X-Jayjunction-Response-Seal": f"seal.{engine.name}.{item}", "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number, line in enumerate(lines_of(item), 1):
            await asyncio.sleep(EVENT_PACE_S)
            data = line.encode()
            if number == SPOILT_EVENT:
                data = WRONG_BYTES + data[len(WRONG_BYTES) :]
            await connection.chunk(b"id: %d\ndata: %s\n\n" % (number, data))
            if number == SPOILT_EVENT and os.environ.get("HOW") == "cut":
                await asyncio.sleep(EVENT_PACE_S)
                connection.reset()
                return "close"
        await connection.send(b"0\r\n\r\n")
        return "keep"


async def case(record, fleet):
    day = Deployment(record, fleet)
    spoilt = Spoilt(record)
    await day.start(ENGINES, spoilt)
    ids = await day.submit("job", ITEMS)
    total, results = await day.wait_done("job", 45)
    listed = {r["id"] for r in results}
    others = set(ids) - {VICTIM}
    wrong = [r["id"] for r in results if r["id"] != VICTIM and (r["state"] != "completed" or r["text"] != text_of(r["id"]))]
    record(f"{time.monotonic() - day.accepted:.1f} s after the 202: {len(listed)} of {total} items are listed; of the {len(others)} that no engine spoilt: {len(listed & others)}; wrong: {wrong}")
    record(f"the engines have begun {sum(len(e.runs) for e in day.engines) + spoilt.begun} runs")
    day.record_log(day.workers, ["jobStoreFailed"], most=3)
    return not day.lost(others, results) and not wrong


fleets.main(HERE, case)
