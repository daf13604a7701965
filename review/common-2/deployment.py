"""A small deployment on loopback addresses: jjserve processes with the settings that deploy/node.ini renders to, a store and engines.

The store and the engines are stand-ins in this process and follow PROTOCOL.md. Standard library only.
"""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "platform" / "jjserve"
TEMPLATE = ROOT / "deploy" / "node.ini"
ZONES = {"gau-north": "gauteng", "gau-south": "gauteng", "kzn-coast": "kzn"}
HEARTBEAT_S = 1.2
START_BOUND_S = 25


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begun, self.lock, self.file = time.monotonic(), threading.Lock(), open(path, "w")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:8.3f}  {text}\n")
            self.file.flush()


# ---- the settings

def value_at(scopes, name):
    for scope in reversed(scopes):
        found = scope
        for key in name.split("."):
            if isinstance(found, list) and key.isdigit():
                found = found[int(key)]
            elif isinstance(found, dict) and key in found:
                found = found[key]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def render(text, scopes, entry=None):
    """The part of DEPLOY.md's template language that deploy/node.ini uses."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        value = value_at(scopes, match[2])
        if match[1] == "^":
            return "" if value else render(match[3], scopes)
        if not value:
            return ""
        if isinstance(value, (dict, list)):
            entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            return "".join(render(match[3], scopes, (key, one, place + 1 < len(entries))) for place, (key, one) in enumerate(entries))
        return render(match[3], scopes)

    text = section.sub(expand, text)
    if entry:
        text = text.replace("{{@}}", str(entry[0])).replace("{{.}}", str(entry[1])).replace("{{,}}", "," if entry[2] else "")

    def fill(match):
        value = value_at(scopes, match[1])
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


# ---- the store

class Store:
    """Objects by kind and name under one revision counter, with conditions and watches. Sound: it is never slow and loses nothing."""

    def __init__(self):
        self.changed, self.objects, self.events, self.revision = threading.Condition(), {}, [], 1
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                path, _, query = self.path.partition("?")
                asked = dict(pair.split("=") for pair in query.split("&") if pair)
                self.answer(*store.call(self.command, path.split("/")[2:], asked, body))

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def call(self, method, parts, asked, body):
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in asked:
            return 200, self.watch(kind, int(asked["watch"]), int(asked.get("waitMs", 0)) / 1000)
        with self.changed:
            if method == "GET" and not name:
                after = asked.get("after", "")
                items = [entry for (one, key), entry in sorted(self.objects.items()) if one == kind and key > after]
                return 200, {"items": items, "hasMore": False, "at": self.revision}
            if method == "POST":
                return self.write(kind, body["metadata"]["name"], {"spec": body.get("spec")}, create=True)
            found = self.objects.get((kind, name))
            if not found:
                return 404, {}
            expected = asked.get("revision") if method == "DELETE" else body.get("metadata", {}).get("revision") if method == "PUT" else None
            if expected is not None and int(expected) != found["metadata"]["revision"]:
                return 409, found
            if method == "PUT":
                return self.write(kind, name, {"status": body.get("status")} if parts[-1] == "status" else {"spec": body.get("spec")})
            if method == "DELETE":
                self.revision += 1
                gone = {**found, "metadata": {**found["metadata"], "revision": self.revision}}
                del self.objects[(kind, name)]
                self.events.append((kind, self.revision, {"object": gone, "removed": True}))
                self.changed.notify_all()
            return 200, found

    def write(self, kind, name, parts, create=False):
        """Called with the lock held."""
        found = self.objects.get((kind, name))
        if create and found:
            return 409, found
        if found and all(found[part] == value for part, value in parts.items()):
            return 200, found
        self.revision += 1
        entry = {"metadata": {"name": name, "revision": self.revision, "createdRev": found["metadata"]["createdRev"] if found else self.revision, "finalizers": [], "deleting": False}, "spec": None, "status": None}
        if found:
            entry.update(spec=found["spec"], status=found["status"])
        entry.update(parts)
        self.objects[(kind, name)] = entry
        self.events.append((kind, self.revision, {"object": entry, "removed": False}))
        self.changed.notify_all()
        return 200, entry

    def put(self, kind, name, spec):
        """A write of the operator or of an engine."""
        with self.changed:
            return self.write(kind, name, {"spec": spec})[1]["metadata"]["revision"]

    def remove(self, kind, name):
        with self.changed:
            if (kind, name) not in self.objects:
                return
        self.call("DELETE", [kind, name], {}, {})

    def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        with self.changed:
            while True:
                events = [event for one, revision, event in self.events if one == kind and revision > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": self.revision}
                self.changed.wait(left)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # callers may leave


# ---- the machines

class Machine:
    """One jjserve process, which can be killed and started again."""

    def __init__(self, fleet, name, zone, ip, carries):
        self.fleet, self.name, self.ip, self.carries = fleet, name, ip, carries
        self.folder = fleet.folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        listen = {"control": f"{ip}:{fleet.ports[2]}"}
        if carries:
            listen.update(front=f"{ip}:{fleet.ports[0]}", ready=f"{ip}:{fleet.ports[1]}")
        boot = {
            "nodeName": name, "zone": zone, "region": ZONES[zone], "zones": ZONES, "ip": ip, "listen": listen if carries else {},
            "internalPorts": [fleet.ports[3], fleet.ports[3] + 15], "seeds": fleet.seeds, "dataDir": None if carries else str(self.folder / "data"),
            "limits": {"memoryMb": 260 if carries else 290, "maxFds": 4200 if carries else 8200, "diskMb": 0 if carries else 450},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": {"graceS": 8, "quotaOver": 0.1},
            "platform": {"addr": fleet.store.address, "valueBytes": 1048576},
        }
        self.settings = self.folder / "node.ini"
        self.settings.write_text(render(TEMPLATE.read_text(), [boot]))
        self.front, self.ready = (ip, fleet.ports[0]), (ip, fleet.ports[1])
        self.process = None

    def start(self):
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen([str(PROGRAM), "--config", str(self.settings)], stdout=log, stderr=log, cwd=ROOT)
        self.fleet.record(f"{self.name} is started, process {self.process.pid}")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record(f"{self.name} is killed")

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, timeout=1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Fleet:
    """Machines, store and engines; ends all processes when it is left."""

    def __init__(self, record, edges=3, workers=3):
        self.record, self.machines, self.engines = record, [], []
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy file")
        self.store = Store()
        ips = [f"127.0.{random.randrange(1, 250)}.{place + 1}" for place in range(edges + workers)]
        self.ports = free_ports(ips)
        self.seeds = [f"{ip}:{self.ports[2]}" for ip in ips[:3]]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        zones = list(ZONES)
        for place, ip in enumerate(ips):
            carries = place < edges
            zone = zones[(place if carries else place - edges) % len(zones)]
            self.machines.append(Machine(self, f"{'edge' if carries else 'storage'}-{zone}-{place + 1}", zone, ip, carries))

    @property
    def edges(self):
        return [machine for machine in self.machines if machine.carries]

    def start(self):
        for machine in self.machines:
            machine.start()

    def wait_ready(self):
        until = time.monotonic() + START_BOUND_S
        while not all(edge.is_ready() for edge in self.edges):
            if time.monotonic() > until:
                raise CannotRun("not all edge machines became ready")
            time.sleep(0.1)
        self.record("all edge machines are ready")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for engine in self.engines:
            engine.leave()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(ips):
    """Ports that are free at all addresses: front, ready, control, and the first of the internal ones."""
    for _ in range(200):
        base = random.randrange(12000, 30000)
        wanted = [base, base + 1, base + 2, base + 10]
        try:
            for ip in ips:
                for port in (*wanted, base + 11, base + 25):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as one:
                            one.bind((ip, port))
            return wanted
        except OSError:
            continue
    raise CannotRun("no free ports")


def verdict(case, folder):
    """Runs case(record, trouble), which returns the ways in which the rule was broken. Returns the exit code of the case."""
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        broken = case(record, os.environ.get("TROUBLE", "1") != "0")
    except CannotRun as error:
        record(f"could not run: {error}")
        print("could not run:", error)
        return 2
    for line in broken:
        record(f"BROKEN: {line}")
        print("broken:", line)
    text = "the rule was broken" if broken else "the rule held"
    record(text)
    print(text)
    return 1 if broken else 0
