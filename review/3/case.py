"""A batch job of 200 items is accepted and runs while the store is down for 4.5 s. Are all its results listed afterwards?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common"))
import fleet as fleets  # noqa: E402
from deployment import Deployment, text_of  # noqa: E402
from store import size_of  # noqa: E402

ENGINES = 15  # of the 18 on the sheet
ITEMS = 200  # the most that a job may have
DOWN_S = 4.5


async def case(record, fleet):
    day = Deployment(record, fleet)
    await day.start(ENGINES)
    # Smaller jobs before it, so that its items begin and end one after the other.
    for n in range(7):
        await day.submit(f"small{n}", 20)
        await asyncio.sleep(0.6)
    ids = await day.submit("big", ITEMS)

    async def has_results():
        return any(kind == "job-results" and name.startswith("big.") for kind, name in day.store.objects)

    if not await fleets.wait_until(has_results, 20, 0.05):
        raise fleets.CannotRun("the large job listed nothing")
    await asyncio.sleep(1.4)
    if fleets.is_trouble():
        record(f"the store is down for {DOWN_S} s (503)")
        day.store.busy = True
        await asyncio.sleep(DOWN_S)
        day.store.busy = False
        record("the store is back")
    ended = time.monotonic()

    # finishS is 18 s; 12 s more, in which the engines have nothing to do.
    total, results = await day.wait_done("big", 30)
    record(f"{time.monotonic() - day.accepted:.1f} s after the 202 and {time.monotonic() - ended:.1f} s after the store's return: {len(results)} of {total} items are listed")
    record(f"the engines have begun {sum(len(e.runs) for e in day.engines)} runs; the store refused {day.store.too_large} writes for their size")
    pages = [size_of(entry["spec"]) for (kind, _), entry in day.store.objects.items() if kind == "job-results"]
    record(f"the largest page of results in the store: {max(pages)} bytes of {day.store.value_bytes}")
    wrong = [r["id"] for r in results if r["state"] != "completed" or r["text"] != text_of(r["id"])]
    record(f"listed results that are wrong: {wrong}")
    day.record_log(day.workers, ["jobStoreFailed"], most=3)
    if wrong:
        raise fleets.CannotRun("listed results are wrong, which is another rule")
    return not day.lost(ids, results)


fleets.main(HERE, case)
