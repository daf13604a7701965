"""Engines in trouble answer with bytes that don't end, for some seconds. Are items given up that no engine answered with 500 or 422?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common"))
import fleet as fleets  # noqa: E402
import http11  # noqa: E402
from deployment import Deployment, text_of  # noqa: E402

ENGINES, IN_TROUBLE, SECONDS, ITEMS = 5, 3, 5.5, 60


class Endless:
    """While it lasts, engines in trouble begin each answer as usual, and then send bytes that are no event and have no end."""

    def __init__(self):
        self.until, self.answers = 0, {}

    async def __call__(self, engine, connection, request):
        if time.monotonic() >= self.until or int(engine.name[2:], 16) >= IN_TROUBLE:
            return None
        item = request.header("X-Jayjunction-Attempt-Id")
        self.answers[item] = self.answers.get(item, 0) + 1
        try:
            await connection.send(http11.head_of(200, {"X-Jayjunction-Attempt-Id": item, "X-Jayjunction-Response-Seal": f"seal.{engine.name}.{item}", "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            while not connection.reader.at_eof():
                await connection.chunk(b"\xfe" * 65536)
                await asyncio.sleep(0.001)
        except OSError:
            pass
        return "close"


async def case(record, fleet):
    day = Deployment(record, fleet)
    endless = Endless()
    await day.start(ENGINES, endless)
    if fleets.is_trouble():
        endless.until = time.monotonic() + SECONDS
        record(f"{IN_TROUBLE} of {ENGINES} engines answer with bytes without end for {SECONDS} s")
    ids = await day.submit("job", ITEMS)
    total, results = await day.wait_done("job", 60)
    errored = [r["id"] for r in results if r["state"] == "errored"]
    wrong = [r["id"] for r in results if r["state"] == "completed" and r["text"] != text_of(r["id"])]
    record(f"{time.monotonic() - day.accepted:.1f} s after the 202: {len(results)} of {total} items are listed; errored: {errored}; completed with another text: {wrong}")
    record(f"answers of 500 or 422 by engines: 0; answers without end, by item: {endless.answers}")
    day.record_log(day.workers, ["itemErrored"])
    for item in errored[:1]:
        day.record_log(day.workers, ["itemSent", "answerOverLimit", "itemRunEnded", "itemFailed"], item, 20)
    return sorted(r["id"] for r in results) == sorted(ids) and not errored and not wrong


fleets.main(HERE, case)
