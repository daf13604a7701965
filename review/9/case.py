"""A request crashes each engine that begins to run it, and comes again every 5 s. All processes of the system are killed once, right after a
configuration was accepted, and are back within a second.

Once it has crashed three engines, it may reach engines in three further retries that are sent by machines in touch.
"""

import threading
import time

from client import Cut, configuration, new_id, request_bytes, route, send_once
from deployment import ZONES, CannotRun, Fleet
from engine import Engine

ENGINES = 9
STABLE_S = 4.0
EVERY_S = 5.0
COMES_BEFORE, COMES_AFTER = 5, 6  # the kill
DEADLY, DEADLY_PATH = b"the deadly question", "/ask/deadly"
CRASHES, RETRIES = 3, 3


def case(record, trouble):
    reached, lock = [], threading.Lock()  # when the deadly request reached an engine

    def behave(engine, request):
        if request["body"] != DEADLY:
            return None
        with lock:
            reached.append(time.monotonic())
        return "crashes"

    with Fleet(record) as fleet:
        for number in range(ENGINES):
            Engine(fleet, number, list(ZONES)[number % 3], behave=behave)
        fleet.store.put("config", "main", configuration(1, [route("ask", "/ask/")]))
        fleet.start()
        fleet.wait_ready()
        time.sleep(STABLE_S + 0.5)
        over = threading.Event()

        def sound(place):
            """Other callers of the same route, whose prompts share their first part with it."""
            number = 0
            while not over.is_set():
                number += 1
                try:
                    send_once(fleet.edges[(place + number) % 3].front, request_bytes("POST", f"/ask/{place}-{number}", new_id(), b"a question %d %d" % (place, number)))
                except (Cut, OSError, ValueError):
                    pass
                over.wait(0.15)

        for place in range(4):
            threading.Thread(target=sound, args=(place,), daemon=True).start()
        time.sleep(2)

        def come(place):
            attempt, edge = new_id(), fleet.edges[place % 3]
            record(f"the deadly request comes as {attempt} to {edge.name}")
            try:
                status, _, _ = send_once(edge.front, request_bytes("POST", DEADLY_PATH, attempt, DEADLY, own="dead01"))
                record(f"{attempt} is answered {status}")
            except (Cut, OSError, ValueError) as error:
                record(f"{attempt} is not answered: {error!r}")

        begun, place, back_at = time.monotonic(), 0, 0.0

        def wait_for(moment):
            time.sleep(max(0.0, moment - time.monotonic()))

        for _ in range(COMES_BEFORE):
            wait_for(begun + place * EVERY_S)
            come(place)
            place += 1
        if trouble:
            wait_for(begun + (place - 1) * EVERY_S + 4.2)
            fleet.store.put("config", "main", configuration(4, [route("ask", "/ask/", timeoutMs=4800)]))
            record("the store has accepted version 4")
            for machine in fleet.machines:
                machine.kill()
            time.sleep(0.7)
            fleet.start()
            back_at = time.monotonic()
            fleet.wait_ready()
        begun = max(back_at + STABLE_S + 0.5 - place * EVERY_S, begun)
        for _ in range(COMES_AFTER):
            wait_for(begun + place * EVERY_S)
            come(place)
            place += 1
        time.sleep(1)
        over.set()
    if len(reached) < CRASHES:
        raise CannotRun(f"the request has crashed {len(reached)} engines only")
    third = reached[CRASHES - 1]
    counted = [at for at in reached[CRASHES:] if at > third + STABLE_S and not back_at - 1 < at < back_at + STABLE_S]
    record(f"the request has crashed {len(reached)} engines; {len(counted)} later than {STABLE_S} s after the third and sent by machines in touch")
    return [f"BUDGET: the request reaches engines in {len(counted)} retries after it has crashed the third"] if len(counted) > RETRIES else []

