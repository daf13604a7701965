"""How long a daemon that has just been started can't take SIGHUP, and how many starts a SIGHUP at a drawn moment ends.

Usage: early_signals.py PROGRAM [STARTS]   (each with a warm page cache, and with the program and its libraries dropped from it)
"""

import os
import pathlib
import platform
import random
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform" / "tests" / "e2e"))
from watched_process import takes  # noqa: E402

WINDOWS = {"warm": 0.006, "cold": 0.030}  # seconds from the start in which the moment is drawn


def mapped_files(process):
    with open(f"/proc/{process.pid}/maps") as maps:
        return sorted({line.split(None, 5)[5].strip() for line in maps if "/" in line and "(deleted)" not in line and "/etc/" not in line})


def drop(files):
    for path in files:
        with open(path, "rb") as file:
            os.posix_fadvise(file.fileno(), 0, 0, os.POSIX_FADV_DONTNEED)


def start(program, folder):
    return subprocess.Popen([program, "--config", os.path.join(folder, "absent.ini")], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def end(process):
    process.kill()
    process.wait()


def until_taken(program, folder):
    """Seconds from the start until the process takes SIGHUP."""
    began = time.monotonic()
    process = start(program, folder)
    while not takes(process, signal.SIGHUP):
        if process.poll() is not None:
            raise RuntimeError(f"ended with {process.returncode}")
    taken = time.monotonic() - began
    end(process)
    return taken


def is_ended(program, folder, delay):
    process = start(program, folder)
    time.sleep(delay)
    process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    ended = process.poll() is not None
    if not ended:
        end(process)
    return ended


def main():
    program, starts = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 50
    with tempfile.TemporaryDirectory() as folder:
        process = start(program, folder)
        time.sleep(1)
        files = mapped_files(process)
        end(process)
        print(f"{platform.machine()}, {len(files)} files, {starts} starts each")
        for cache, window in WINDOWS.items():
            rng, times, ended = random.Random(1), [], 0
            for _ in range(starts):
                if cache == "cold":
                    drop(files)
                times.append(until_taken(program, folder))
            for _ in range(starts):
                if cache == "cold":
                    drop(files)
                ended += is_ended(program, folder, rng.uniform(0, window))
            times.sort()
            print(f"{cache}: SIGHUP is taken after {1000 * times[len(times) // 2]:.1f} ms, {1000 * times[-1]:.1f} at most; at a drawn moment of the first {1000 * window:.0f} ms it ended {ended} of {starts}")


if __name__ == "__main__":
    main()
