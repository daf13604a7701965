"""The demo: a deployment from its answered questionnaire, streamed questions and a job of 1,000 items, and a table of what came of them.

Exits 0 when every question was answered or truthfully refused and every item has its one result; 1 when anything was lost or doubled.
"""

import json
import sys
import threading
import time

from fleet import Fleet, http

SITES = {
    "umthunzi": ("bookhelp", "bookings", "/bookings", "Is shelter {} free on Saturday?"),
    "bodegas": ("conteo", "orders", "/orders", "How many bags of rice stand on shelf {}?"),
}
ITEMS = 1000
IMPOSSIBLE = (117, 404, 871)  # items that the stand-ins refuse
QUESTIONS = 150
ASKERS = 6
CALLS = 20
JOB_SECONDS = 55
STREAM_TIMEOUT = 20


def percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


class Asker(threading.Thread):
    """Asks questions one after another over one node and notes what came of each."""

    def __init__(self, node, service, text, numbers):
        super().__init__()
        self.node, self.service, self.text, self.numbers = node, service, text, numbers
        self.first_token_ms, self.answered, self.refused, self.lost = [], 0, 0, 0

    def run(self):
        for number in self.numbers:
            try:
                self.ask(number)
            except OSError:
                self.lost += 1

    def ask(self, number):
        import http.client
        host, port = self.node.callers.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=STREAM_TIMEOUT)
        body = {"model": self.service, "stream": True, "max_tokens": 24, "messages": [
            {"role": "system", "content": "You answer callers of the deployment in one short sentence. " * 8},
            {"role": "user", "content": self.text.format(number)}]}
        began = time.monotonic()
        connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Content-Type": "application/json", "Workspace": f"group-{number % 7}"})
        answer = connection.getresponse()
        if answer.status != 200:
            answer.read()
            self.refused += 1
            return connection.close()
        answer.readline()
        self.first_token_ms.append(1000 * (time.monotonic() - began))
        rest = answer.read()
        connection.close()
        if rest.endswith(b"data: [DONE]\n\n"):
            self.answered += 1
        else:
            self.lost += 1


def submit(fleet, service):
    lines = []
    for number in range(ITEMS):
        text = f"Write the confirmation letter number {number}." + (" FAIL-THIS-ITEM" if number in IMPOSSIBLE else "")
        lines.append(json.dumps({"custom_id": f"letter-{number}", "body": {"messages": [{"role": "user", "content": text}], "max_tokens": 24}}))
    status, _, body = http("POST", fleet.node(0).callers + "/v1/jobs", "\n".join(lines).encode(), {"Service": service, "Deadline": "10m", "Idempotency-Key": "friday"})
    if status != 201:
        raise RuntimeError(f"job refused: {status} {body.decode()}")
    return json.loads(body)["id"]


def follow(fleet, job):
    """Shows the job's progress until it is done."""
    until = time.monotonic() + JOB_SECONDS
    while time.monotonic() < until:
        status = json.loads(http("GET", fleet.node(1).callers + "/v1/jobs/" + job)[2])
        line = f"job {status.get('state')}: {status.get('done', 0)} done, {status.get('failed', 0)} failed of {ITEMS}"
        print("\r" + line if sys.stdout.isatty() else line, end="" if sys.stdout.isatty() else "\n", flush=True)
        if status.get("state") == "done":
            return True
        time.sleep(0.5 if sys.stdout.isatty() else 2)
    print(f"job not done within {JOB_SECONDS} s: its open items count as unfinished, not as lost")
    return False


def count_results(fleet, job):
    """Done, failed, lost and doubled items, from the results as any node shows them."""
    body = http("GET", fleet.node(2).callers + "/v1/jobs/" + job + "/results", timeout=30)[2]
    seen = {}
    done = failed = 0
    for line in body.decode().splitlines():
        result = json.loads(line)
        seen[result["custom_id"]] = seen.get(result["custom_id"], 0) + 1
        if result["status"] == "done":
            done += 1
        else:
            failed += 1
    lost = sum(1 for number in range(ITEMS) if f"letter-{number}" not in seen)
    doubled = sum(count - 1 for count in seen.values())
    return done, failed, lost, doubled


def call_once(fleet, service, path):
    """Calls that may not be repeated, each sent to two nodes; answers how many ran other than once."""
    for number in range(CALLS):
        for node in (fleet.node(number % 3), fleet.node((number + 1) % 3)):
            http("POST", f"{node.callers}/v1/services/{service}{path}", json.dumps({"place": number}).encode(),
                 {"Idempotency-Key": f"{service}-{number}", "Content-Type": "application/json"})
    executions = json.loads(http("GET", fleet.services[0].address + "/v1/executions")[2])
    return sum(1 for number in range(CALLS) if executions.get(f"{service}-{number}") != 1)


def run(site):
    service, plain, path, text = SITES[site]
    print(f"== {site}: service {service}, plain service {plain}")
    with Fleet(f"docs/examples/{site}.answers.ini", nodes=3) as fleet:
        fleet.ready()
        job = submit(fleet, service)
        askers = [Asker(fleet.node(i % 3), service, text, range(i, QUESTIONS, ASKERS)) for i in range(ASKERS)]
        for asker in askers:
            asker.start()
        finished = follow(fleet, job)
        for asker in askers:
            asker.join()
        done, failed, missing, doubled = count_results(fleet, job)
        lost, unfinished = (missing, 0) if finished else (0, missing)
        wrong_calls = call_once(fleet, plain, path)
        times = [ms for asker in askers for ms in asker.first_token_ms]
        answered, refused, cut = (sum(getattr(a, name) for a in askers) for name in ("answered", "refused", "lost"))
        codes = [node.stop() for node in fleet.nodes]
    print(f"questions   answered {answered}  refused {refused}  cut off {cut}")
    print(f"first token p50 {percentile(times, 0.5):.0f} ms  p95 {percentile(times, 0.95):.0f} ms  p99 {percentile(times, 0.99):.0f} ms")
    print(f"items       done {done}  failed {failed} (of them impossible {len(IMPOSSIBLE)})  lost {lost}  doubled {doubled}  unfinished {unfinished}")
    print(f"calls       {CALLS} at most once, each sent to two nodes: {wrong_calls} ran other than once")
    print(f"nodes       exit codes after drain: {codes}")
    good = not (lost or doubled or unfinished or cut or wrong_calls or any(codes)) and failed == len(IMPOSSIBLE) and answered + refused == QUESTIONS
    print("result      " + ("nothing lost, nothing doubled" if good else "NOT AS PROMISED"))
    return good


def main():
    chosen = sys.argv[1:] or list(SITES)
    unknown = [site for site in chosen if site not in SITES]
    if unknown:
        print(f"unknown site {unknown[0]}; known: {', '.join(SITES)}", file=sys.stderr)
        return 2
    return 0 if all([run(site) for site in chosen]) else 1


if __name__ == "__main__":
    sys.exit(main())
