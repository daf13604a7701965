"""Runs one case: 1 if the rule was broken, 0 if it held, 2 whatever else happens (also a fault of the case itself, a signal, or no end in time).

Usage: run.py FOLDER-OF-THE-CASE
"""

import pathlib
import runpy
import signal
import sys
import traceback

LONGEST_S = 115


def main(folder):
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
    from deployment import CannotRun, verdict

    def give_up(number, _):
        raise CannotRun(f"signal {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LONGEST_S)
    return verdict(runpy.run_path(str(pathlib.Path(folder) / "case.py"))["case"], folder)


try:
    CODE = main(sys.argv[1])
except BaseException:  # Python's own exit code would be 1
    traceback.print_exc()
    CODE = 2
sys.exit(CODE)
