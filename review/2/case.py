"""One engine spoils one event of one item of a job. Are the other items of the job listed?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common"))
import fleet as fleets  # noqa: E402
import spoilt  # noqa: E402
from deployment import Deployment, text_of  # noqa: E402

ENGINES, ITEMS, CALLERS = 6, 10, 30
SPOILT_EVENT = 6
WRONG_BYTES = b"\xff\xfe\xf0\x80"  # no text in UTF-8


def event_bytes(number, line):
    data = line.encode()
    if number == SPOILT_EVENT:
        data = WRONG_BYTES + data[len(WRONG_BYTES) :]
    return b"id: %d\ndata: %s\n\n" % (number, data)


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
    sound = [one for one in ids if one != trouble.victim]
    wrong = [r["id"] for r in results if r["id"] in sound and (r["state"] != "completed" or r["text"] != text_of(r["id"]))]
    record(f"{time.monotonic() - day.accepted:.1f} s after the 202: of the {len(sound)} items that no engine spoilt {sum(r['id'] in sound for r in results)} are listed; wrong: {wrong}")
    day.record_log(day.workers, ["jobStoreFailed"], most=3)
    if wrong:
        raise fleets.CannotRun("listed results are wrong, which is another rule")
    return not day.lost(ids, results, trouble.victim)


fleets.main(HERE, case)
