"""One engine of seven fails two of five requests for 5 s: it begins to work on them and answers 503, without saying that it has not run them.

A request that may run once at most and that is answered 429, 503, 408 or 421 must not have run. Its caller takes such an answer as a
promise and sends the request again.
"""

import threading
import time

from client import Cut, configuration, new_id, request_bytes, route, send_once
from deployment import ZONES, CannotRun, Fleet
from engine import Engine

ENGINES = 7  # one of them is 0.143 of all; the largest share is 0.15
GREY_S = 5
FAILS, OF = 2, 5  # x = 0.4
CALLERS, REQUESTS = 24, 14
DEADLINE_MS = 5000
PROMISES = (408, 421, 429, 503)


def case(record, trouble):
    counts, grey = {"taken": 0}, {"until": None}

    def behave(engine, request):
        if not trouble or engine.number != 0 or not grey["until"] or time.monotonic() > grey["until"]:
            return None
        counts["taken"] += 1
        return "refuses" if (counts["taken"] - 1) % OF >= OF - FAILS else None

    answers = []  # booking, attempt, status
    with Fleet(record) as fleet:
        engines = [Engine(fleet, number, list(ZONES)[number % 3], behave=behave) for number in range(ENGINES)]
        fleet.store.put("config", "main", configuration(1, [route("book", "/book/")]))
        fleet.start()
        fleet.wait_ready()
        time.sleep(4.5)  # stableMs: all machines are in touch
        grey["until"] = time.monotonic() + GREY_S

        def call(place):
            for number in range(REQUESTS):
                booking, begun = f"/book/{place}-{number}", time.monotonic()
                for edge in (fleet.edges[place % 3], fleet.edges[(place + 1) % 3]):  # one retry, at another machine
                    attempt = new_id()
                    record(f"caller {place} sends {attempt} {booking} to {edge.name}")
                    try:
                        status, headers, _ = send_once(edge.front, request_bytes("POST", booking, attempt, b"a booking", DEADLINE_MS - int(1000 * (time.monotonic() - begun))))
                    except (Cut, OSError, ValueError) as error:
                        status, headers = 0, {}
                        record(f"{attempt} is not answered: {error!r}")
                    answers.append((booking, attempt, status))
                    record(f"{attempt} is answered {status}, seal {headers.get('x-jayjunction-response-seal')}, Retry-After {headers.get('retry-after')}")
                    if status not in PROMISES:
                        break
                    time.sleep(min(float(headers.get("retry-after") or 0.05), 1.5))

        threads = [threading.Thread(target=call, args=(place,), daemon=True) for place in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        ran = {}
        for engine in engines:
            for _, attempt, request in engine.ran:
                ran.setdefault(attempt, []).append(request["path"])
    failures = sum(status in PROMISES or status >= 500 for _, _, status in answers)
    if sum(status == 200 for _, _, status in answers) < len(answers) // 2 or (trouble and counts["taken"] < OF):
        raise CannotRun(f"{len(answers)} attempts, {failures} of them failed; the failing engine had {counts['taken']} requests")
    broken = [f"REFUSED: {attempt} ({booking}) is answered {status} and has run" for booking, attempt, status in answers if status in PROMISES and attempt in ran]
    runs = {}
    for paths in ran.values():
        runs[paths[0]] = runs.get(paths[0], 0) + len(paths)
    twice = sorted(booking for booking, count in runs.items() if count > 1)
    record(f"{len(answers)} attempts, {len(runs)} bookings have run; run more than once: {twice}")
    return broken

