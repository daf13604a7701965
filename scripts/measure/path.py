"""Starts stand-ins and nodes on loopback, measures the path of a question, and ends what it started.

Three nodes stand before one engine without service time. The engine's home is one of the nodes, so a question to it takes one
node and a question to the others takes two. `engine` is the baseline: the same questions straight to the stand-in, in turn with
those through the nodes. CPU time is what the node processes used, divided by the questions that went through them.
"""
import argparse
import json
import os
import pathlib
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = pathlib.Path("build/bin")
START_BOUND = 15.0
IDLE_SECONDS = 2.0


class Processes:
    """The processes that this run started, by name."""

    def __init__(self, folder):
        self.folder = folder
        self.started = {}

    def start(self, name, *command):
        out = open(self.folder / f"{name}.out", "w")
        err = open(self.folder / f"{name}.err", "w")
        self.started[name] = subprocess.Popen([str(part) for part in command], stdout=out, stderr=err)

    def first_line(self, name):
        deadline = time.monotonic() + START_BOUND
        while time.monotonic() < deadline:
            text = (self.folder / f"{name}.out").read_text()
            if "\n" in text:
                return text.split("\n")[0]
            if self.started[name].poll() is not None:
                break
            time.sleep(0.02)
        sys.exit(f"{name} did not start:\n{(self.folder / f'{name}.err').read_text()}")

    def cpu_seconds(self, name):
        fields = pathlib.Path(f"/proc/{self.started[name].pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self):
        for process in self.started.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.started.items():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                print(f"{name} did not end within 10 s and is killed", file=sys.stderr)
                process.kill()
                process.wait()


def start_engine(processes, name, seed):
    processes.start(name, BIN / "jj-fake-engine", "--seed", seed, "--step-base-ms", 0, "--step-per-stream-ms", 0,
                    "--step-per-prompt-token-ms", 0, "--kv-blocks", 1000000)
    return processes.first_line(name).split()[1]


def fleet_config(engines):
    text = "[deployment]\nname = path\n\n[region one]\nfailure-domains = a\n\n[link]\n\n[service bookhelp]\nkind = engines\n"
    for place, address in enumerate(engines):
        text += f"\n[upstream bookhelp/{place}]\naddress = {address}\nfailure-domain = a\nslots = 512\n"
    return text


def start_nodes(processes, folder, store, count, io_threads):
    (folder / "key").write_text(secrets.token_hex(32) + "\n")
    (folder / "token").write_text(secrets.token_hex(16) + "\n")
    nodes, peers = {}, []
    for number in range(1, count + 1):
        name = f"node{number}"
        settings = f"""[node]
failure-domain = a
region = one
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers-listen = 127.0.0.1:0
peers = {", ".join(peers)}
key-file = {folder / "key"}
token-file = {folder / "token"}
[platform]
store = {store}
[threads]
io = {io_threads}
[log]
level = warn
"""
        (folder / f"{name}.ini").write_text(settings)
        processes.start(name, BIN / "jjnode", "--config", folder / f"{name}.ini")
        nodes[name] = dict(re.findall(r"(\w+)=(\S+)", processes.first_line(name)))
        peers.append(nodes[name]["peers"])
    return nodes


def wait_ready(nodes):
    for name, node in nodes.items():
        deadline = time.monotonic() + START_BOUND
        while True:
            try:
                with urllib.request.urlopen(f"http://{node['operators']}/readyz", timeout=2):
                    break
            except OSError:
                if time.monotonic() > deadline:
                    sys.exit(f"{name} is not ready")
                time.sleep(0.05)


def load(*arguments):
    run = subprocess.run([str(BIN / "jjload"), "--json", *[str(a) for a in arguments]], capture_output=True, text=True)
    if not run.stdout:
        sys.exit(f"jjload failed: {run.stderr}")
    return json.loads(run.stdout)


def table(title, report):
    print(f"\n{title}")
    print(f"{'target':10}{'answered':>9}{'refused':>9}{'broken':>8}{'ttft p50 ms':>13}{'p95':>9}{'p99':>9}{'whole p50':>11}{'req/s':>9}")
    for name, t in report["targets"].items():
        print(f"{name:10}{t['answered']:9}{t['refused']:9}{t['broken']:8}{t['firstTokenP50Ms']:13.3f}{t['firstTokenP95Ms']:9.3f}"
              f"{t['firstTokenP99Ms']:9.3f}{t['wholeP50Ms']:11.3f}{t['perSecond']:9.0f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--requests", type=int, default=20000, help="questions of each part")
    parser.add_argument("--max-tokens", type=int, default=16)
    parser.add_argument("--concurrency", type=int, default=128, help="open questions of the part at full load")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--io-threads", type=int, default=2)
    parser.add_argument("--hold", action="store_true", help="print the nodes' process ids and wait for Enter before the load")
    parser.add_argument("--rate", type=float, default=0, help="questions a second for the times; 0: half of what full load reached")
    options = parser.parse_args()

    folder = pathlib.Path(tempfile.mkdtemp(prefix="jj-path-"))
    processes = Processes(folder)
    try:
        processes.start("objects", BIN / "jj-fake-objects")
        store = processes.first_line("objects").split()[1]
        engines = [start_engine(processes, f"engine{i}", i) for i in range(1, 4)]
        put = urllib.request.Request(f"http://{store}/v1/objects/jj/config/fleet", fleet_config(engines[:1]).encode(), method="PUT")
        urllib.request.urlopen(put, timeout=5).read()
        nodes = start_nodes(processes, folder, store, options.nodes, options.io_threads)
        wait_ready(nodes)
        through = [part for name, node in nodes.items() for part in ("--target", f"{name}={node['callers']}")]
        tokens = ["--max-tokens", options.max_tokens]
        load(*through, "--requests", 500, "--concurrency", 8, *tokens)

        if options.hold:
            input(" ".join(str(processes.started[name].pid) for name in nodes) + " ")
        idle = {name: processes.cpu_seconds(name) for name in nodes}
        time.sleep(IDLE_SECONDS)
        share = sum(processes.cpu_seconds(name) - idle[name] for name in nodes) / len(nodes) / IDLE_SECONDS
        print(f"an idle node uses {100 * share:.1f}% of a core")

        before = {name: processes.cpu_seconds(name) for name in nodes}
        full = load(*through, "--requests", options.requests, "--concurrency", options.concurrency, "--threads", 2, *tokens)
        used = sum(processes.cpu_seconds(name) - before[name] for name in nodes)
        table("full load, closed loop, one engine", full)
        answered = sum(t["answered"] for t in full["targets"].values())
        reached = answered / full["seconds"]
        print(f"requests a second {reached:.0f}, CPU time of the nodes a request {1e6 * used / max(1, answered):.0f} us")

        rate = options.rate or reached / 2
        times = load("--target", f"engine={engines[0]}", *through, "--requests", options.requests, "--rate", rate, "--threads", 2,
                     "--warmup", 200, *tokens)
        table(f"times at {rate:.0f} requests a second, targets in turn", times)
        base = times["targets"]["engine"]
        for name in nodes:
            t = times["targets"][name]
            print(f"{name}: added p50 {t['firstTokenP50Ms'] - base['firstTokenP50Ms']:.3f} ms, p99 "
                  f"{t['firstTokenP99Ms'] - base['firstTokenP99Ms']:.3f} ms")
    finally:
        processes.end()
        print(f"\nlogs: {folder}")


if __name__ == "__main__":
    main()
