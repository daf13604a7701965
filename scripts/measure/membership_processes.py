"""Starts membernode processes on loopback, kills some one after the other, and reports detection time and cost."""
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

SETTLE_S = 15
BETWEEN_KILLS_S = 6


def free_ports(count):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def percentile(values, share):
    values = sorted(values)
    return values[round(share * (len(values) - 1))] if values else float("nan")


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 64
    kills = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    # Usage is that of the second half, so that the updates of the start have spread.
    seconds = 2 * (SETTLE_S + kills * BETWEEN_KILLS_S)
    ports = free_ports(count)
    killed = {}
    with tempfile.TemporaryDirectory() as folder:
        outputs = [os.path.join(folder, str(port)) for port in ports]
        processes = []
        for port, output in zip(ports, outputs):
            command = ["build/bin/membernode", "--port", str(port), "--seconds", str(seconds), "--ports", *map(str, ports)]
            processes.append(subprocess.Popen(command, stdout=open(output, "w")))
        time.sleep(SETTLE_S)
        for i in range(kills):
            victim = i * 7 % count
            killed[ports[victim]] = time.time() * 1000
            processes[victim].kill()
            time.sleep(BETWEEN_KILLS_S)
        for process in processes:
            process.wait()
        report(ports, outputs, killed)


def report(ports, outputs, killed):
    detections, usages, false_deaths, suspicions = [], [], 0, 0
    for port, output in zip(ports, outputs):
        if port in killed:
            continue
        for line in map(json.loads, open(output)):
            if "cpu" in line:
                usages.append(line)
            elif line.get("state") == "dead" and line["port"] in killed:
                detections.append((line["at"] - killed[line["port"]]) / 1000)
            elif line.get("state") == "dead":
                false_deaths += 1
            elif line.get("state") == "suspect" and line["port"] not in killed:
                suspicions += 1
    wanted = len(killed) * (len(ports) - len(killed))
    print(f"processes={len(ports)} kills={len(killed)} detection p50={percentile(detections, 0.5):.2f}s p99={percentile(detections, 0.99):.2f}s "
          f"max={max(detections, default=float('nan')):.2f}s seen={len(detections)} of {wanted} false_deaths={false_deaths} heard_false_suspicions={suspicions}")
    if not usages:
        print("no usage was reported")
        return
    cpu = sum(usage["cpu"] / usage["seconds"] for usage in usages) / len(usages)
    sent = sum((usage["bytes"] + 28 * usage["datagrams"]) / usage["seconds"] for usage in usages) / len(usages)
    datagrams = sum(usage["datagrams"] / usage["seconds"] for usage in usages) / len(usages)
    memory = max(usage["maxRssKb"] for usage in usages)
    print(f"a process: cpu={100 * cpu:.2f}% of a core, sent={sent / 1000:.2f} KB/s, datagrams={datagrams:.1f}/s, resident at most {memory / 1024:.1f} MB")


if __name__ == "__main__":
    main()
