"""Starts processes of the deploy file on loopback addresses, with settings rendered from its template, and ends them."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The build of the deploy file, or another one of the same sources.
PROGRAM = pathlib.Path(os.environ.get("JJSERVE", ROOT / "target" / "platform" / "jjserve"))


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()
        self(f"trouble: {'yes' if is_trouble() else 'no'}")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# ---- the template, as the platform fills it in

TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def look_up(scopes, name):
    if name == ".":
        return scopes[-1]["."]
    if name == "@":
        return scopes[-1]["@"]
    for scope in reversed(scopes):
        value = scope.get(".") if "." in scope else scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(text_of(one) for one in value)
    if isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def render(template, scopes):
    out, at = [], 0
    while tag := TAG.search(template, at):
        out.append(template[at : tag.start()])
        at = tag.end()
        sort, name = tag.group(1), tag.group(2)
        if not sort:
            out.append("" if name == "," and scopes[-1].get("last") else "," if name == "," else text_of(look_up(scopes, name)))
            continue
        end = template.index("{{/" + name + "}}", at)
        inner, at = template[at:end], end + len(name) + 5
        value = look_up(scopes, name)
        if sort == "^":
            out.append(render(inner, scopes) if value is None or value is False else "")
        elif isinstance(value, (list, dict)):
            pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
            for index, (key, one) in enumerate(pairs):
                out.append(render(inner, scopes + [{".": one, "@": key, "last": index == len(pairs) - 1}]))
        elif value is not None and value is not False:
            out.append(render(inner, scopes))
    return "".join(out) + template[at:]


BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stableMs": 4000, "ackMs": 5000, "catchUpS": 4.7, "drainMs": 2500, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2500, "downgradeSlackMs": 250, "maxStretchMs": 6000, "recoveryS": 12, "passMs": 250, "againS": 0, "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1}


USED_HOSTS = [1, 11, 12, 21, 22, 99, *range(100, 116)]  # of the store, the nodes, another writer's engine and the engines


def is_free(host, port):
    try:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind((host, port))
            udp.bind((host, port))
        return True
    except OSError:
        return False


class Fleet:
    """The addresses of a case, its processes, and a folder for their files."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="jj-review-"))
        self.nodes = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        for _ in range(100):
            self.net = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
            # Front, ready, control, and the ports between nodes; one set on all machines of a day.
            self.base = random.randrange(20000, 30000, 20)
            if all(is_free(self.host(n), self.base + p) for n in USED_HOSTS for p in range(10)):
                return
        raise RuntimeError("no free addresses")

    def host(self, number):
        return f"{self.net}.{number}"

    def node(self, number, role, zone="north", region="land", zones=None):
        node = Node(self, number, role, zone, region, zones or {"north": "land"})
        self.nodes.append(node)
        return node

    def stop(self):
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Node:
    def __init__(self, fleet, number, role, zone, region, zones):
        self.fleet, self.number, self.role, self.zone, self.region, self.zones = fleet, number, role, zone, region, zones
        self.name, self.ip = f"{role}-{zone}-{number}", fleet.host(number)
        self.process = None
        self.starts = 0
        self.settings = fleet.folder / f"{self.name}.ini"
        self.log = fleet.folder / f"{self.name}.log"

    def values(self, store, seeds):
        base, entry = self.fleet.base, self.role == "entry"
        data = None if entry else str(self.fleet.folder / f"{self.name}-disk")
        return {
            "nodeName": self.name, "role": self.role, "machineClass": "edge" if entry else "storage", "serves": ["edge", "control_plane"] if entry else ["storage"],
            "ip": self.ip, "zone": self.zone, "region": self.region, "zones": self.zones,
            "listen": {"front": f"{self.ip}:{base}", "ready": f"{self.ip}:{base + 1}", "control": f"{self.ip}:{base + 2}"} if entry else {},
            "internalPorts": [base + 4, base + 9], "seeds": seeds, "bootstrap": self.starts == 0, "inFaultBudget": not entry,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260 if entry else 290, "maxFds": 4200 if entry else 8200, "linkMbps": 1000.0, "diskMb": 0 if entry else 450},
            "dataDir": data, "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"addr": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    def start(self, store, seeds):
        role = self.fleet.roles[self.role]
        values = self.values(store, seeds)
        if values["dataDir"]:
            os.makedirs(values["dataDir"], exist_ok=True)
        self.settings.write_text(render((ROOT / role["template"]).read_text(), [values]))
        words = [str(self.settings) if word.endswith("boot.json") else word for word in role["run"].split()]
        self.process = subprocess.Popen([str(PROGRAM), *words[1:]], cwd=ROOT, stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.starts += 1
        self.fleet.record(f"{self.name} started, process {self.process.pid}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    def events(self, *names):
        """The log's lines of these events."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                one = json.loads(line)
            except ValueError:
                continue
            if one.get("event") in names:
                found.append(one)
        return found

    async def fetch(self, method, target, headers, body=b"", timeout=8.0):
        return await http11.fetch(self.ip, self.fleet.base, method, target, headers, body, timeout)

    async def is_ready(self):
        return (await http11.fetch(self.ip, self.fleet.base + 1, "GET", "/ready", {"Host": "ready"}, timeout=1.0)).status == 200


async def wait_until(condition, seconds, step=0.1):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await condition():
            return True
        await asyncio.sleep(step)
    return False


class CannotRun(Exception):
    pass


def main(folder, case):
    """Runs `case(record, fleet)`, which returns whether the rule held, and exits with 0 if so, 1 if it was broken, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended
    fleet, status = None, 2
    record = Record(folder)
    try:
        if not PROGRAM.exists():
            raise CannotRun(f"the build is missing: {PROGRAM}")
        fleet = Fleet(record)
        held = asyncio.run(asyncio.wait_for(case(record, fleet), 115))
        status = 0 if held else 1
        record("the rule held" if held else "THE RULE WAS BROKEN")
    except CannotRun as reason:
        record(f"couldn't run: {reason}")
    except Exception as error:  # noqa: BLE001: whatever goes wrong in the stand-ins is no verdict
        record(f"couldn't run: {error!r}")
    finally:
        if fleet:
            if os.environ.get("KEEP_LOGS"):
                for node in fleet.nodes:
                    if node.log.exists():
                        shutil.copy(node.log, os.environ["KEEP_LOGS"])
            fleet.stop()
    print(pathlib.Path(folder, "record.txt").read_text()[-1500:], flush=True)
    sys.exit(status)
