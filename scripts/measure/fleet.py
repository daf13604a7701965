"""Configuration changes until in force on every node, drains under load, and what an idle node costs; over real processes."""

import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from fleet import Fleet, http  # noqa: E402
from fleet_load import Load  # noqa: E402

ANSWERS = "docs/examples/umthunzi.answers.ini"
IDLE_SECONDS = 10
POLL_SECONDS = 0.01


def change(fleet, number):
    """One accepted change; seconds until every node reports to apply it."""
    text = pathlib.Path(fleet.config).read_text() + "\n" * number
    node = fleet.node(number % len(fleet.nodes))
    version = fleet.status(node)["config"]["applied"]
    began = time.monotonic()
    status, _, body = http("PUT", node.operators + "/v1/config", text.encode(), {"Authorization": "Bearer " + fleet.token, "If-Match": f'"{version}"'})
    if status != 200:
        raise RuntimeError(f"change {number}: {status} {body.decode()}")
    wanted = json.loads(body)["version"]
    pending = list(fleet.nodes)
    while pending:
        pending = [n for n in pending if (fleet.status(n)["config"]["applied"] or 0) < wanted]
        time.sleep(POLL_SECONDS)
    applied = time.monotonic() - began
    while (fleet.status(node)["config"]["inForce"] or 0) < wanted:
        time.sleep(POLL_SECONDS)
    return applied, time.monotonic() - began


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process):
    pages = int(pathlib.Path(f"/proc/{process.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def idle(fleet):
    before = [cpu_seconds(node) for node in fleet.nodes]
    time.sleep(IDLE_SECONDS)
    shares = [(cpu_seconds(node) - old) / IDLE_SECONDS for node, old in zip(fleet.nodes, before)]
    return sum(shares) / len(shares), max(resident_mb(node) for node in fleet.nodes)


def spread(values):
    ordered = sorted(values)
    return f"p50 {ordered[len(ordered) // 2]:.2f} s  worst {ordered[-1]:.2f} s"


def main():
    nodes = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    changes = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    with Fleet(ANSWERS, nodes=nodes) as fleet:
        fleet.ready()
        share, resident = idle(fleet)
        print(f"idle node   {100 * share:.2f}% of a core, {resident:.1f} MB resident ({nodes} nodes)")
        times = [change(fleet, number) for number in range(1, changes + 1)]
        print(f"config      applied on all {spread([t[0] for t in times])}; known to be in force {spread([t[1] for t in times])} ({changes} changes)")
        load = Load(fleet, "bookhelp", askers=6)
        load.start()
        load.wait_for(30)
        drains = []
        for number in range(min(nodes, 3)):
            began = time.monotonic()
            code = fleet.node(number).stop()
            drains.append(time.monotonic() - began)
            if code:
                raise RuntimeError(f"node {number} ended with {code}")
        load.wait_for(load.answered + 30)
        load.stop()
        print(f"drain       {spread(drains)}; questions answered {load.answered}, refused {load.refused}, cut off {load.cut}")
    return 1 if load.refused or load.cut else 0


if __name__ == "__main__":
    sys.exit(main())
