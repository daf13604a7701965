"""One engine spoils the first event of one item of a job. Is the item listed as completed without it?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common"))
import fleet as fleets  # noqa: E402
import spoilt  # noqa: E402
from deployment import Deployment, lines_of, text_of  # noqa: E402

ENGINES, ITEMS, CALLERS = 6, 10, 30
WRONG_BYTES = b"~" * 40 + b"\n\n"  # in place of event 1: no event, as it has no id


def event_bytes(number, line):
    return WRONG_BYTES if number == 1 else b"id: %d\ndata: %s\n\n" % (number, line.encode())


async def case(record, fleet):
    day = Deployment(record, fleet)
    trouble = spoilt.OneSpoiltAnswer(record, event_bytes)
    await day.start(ENGINES, trouble)
    trouble.begin()
    questions = asyncio.create_task(spoilt.callers(day, CALLERS, spoilt.SECONDS))
    ids = await day.submit("job", ITEMS)
    await trouble.end()
    record(f"questions by status: {await questions}")
    _, results = await day.wait_done("job", 40)
    # Judged: an event is missing from the text of a result that is listed as completed, or another text stands there.
    wrong = [r["id"] for r in results if r["state"] == "completed" and r["text"] != text_of(r["id"])]
    for result in results:
        if result["id"] in wrong:
            have = result["text"].split("\n")
            missing = [number for number, line in enumerate(lines_of(result["id"]), 1) if line not in have]
            record(f"item {result['id']} is completed with {len(have)} of {len(lines_of(result['id']))} events; missing: {missing}")
    record(f"{time.monotonic() - day.accepted:.1f} s after the 202: {len(results)} of {len(ids)} items are listed; completed with another text than the item's: {wrong}")
    if len(results) != len(ids):
        raise fleets.CannotRun("not all items are listed, which is another rule")
    return not wrong


fleets.main(HERE, case)
