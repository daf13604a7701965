"""One failure run: mixed load, failures out of a seed, then everything healed and audited."""

import json
import random
import subprocess

import failures
from fleet import Fleet, bin_folder, wait_until
from load import Asker, Booker, Job, Records

AUDIT_FINDINGS = 5


def audit(fleet, records):
    """The audit's report; the run's own findings are added to its list."""
    command = [str(bin_folder() / "jj"), "--json", "audit", "--store", fleet.store_address, "--service", fleet.service_address,
               "--records", str(records.path), "--finished", "--tolerance-ms", "50", "--events", *map(str, fleet.event_files())]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    if done.returncode not in (0, AUDIT_FINDINGS):
        raise RuntimeError(f"jj audit: exit code {done.returncode}: {done.stderr}")
    report = json.loads(done.stdout)
    report["list"] += records.findings
    return report


def wait_until_served(records):
    """Waits until a question and a booking that end from now on have succeeded."""
    for success in ("question answered", "booking ran"):
        before = records.counts.get(success, 0)
        wait_until(f"calls succeed after the failures: {success}", lambda: records.counts.get(success, 0) > before)


def failure_run(folder, seed, rounds, items=120, say=lambda text: None):
    """Provokes `rounds` (each a list of failures that happen together) under load; gives the audit's report and the counts."""
    chance = random.Random(seed)
    with Fleet(folder, seed) as fleet:
        records = Records(fleet.folder / "records.jsonl")
        callers = [Asker(fleet, records, seed * 10 + each) for each in range(3)] + [Booker(fleet, records, seed * 10 + 5)]
        for caller in callers:
            caller.start()
        jobs = [Job(fleet, records, f"job-{seed}", items)]
        jobs[0].submit()
        for number, together in enumerate(rounds):
            say(f"round {number + 1}: " + ", ".join(failure.__name__ for failure in together))
            failures.provoke(fleet, chance, together)
        wait_until_served(records)
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.join()
        for node in fleet.nodes:
            wait_until(f"node {node.index} is ready again", node.is_ready)
        for job in jobs:
            wait_until(f"job {job.name} has ended", job.is_done, bound=180)
            job.check_results()
        report = audit(fleet, records)
        return report, dict(sorted(records.counts.items()))


def random_rounds(seed, count):
    """Rounds of one or two failures out of the seed."""
    chance = random.Random(seed + 1)
    return [chance.sample(failures.ALL, chance.choice((1, 1, 2))) for _ in range(count)]
