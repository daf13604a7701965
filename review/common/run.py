"""Runs a case. Whatever goes wrong outside its verdict ends with 2, not with Python's 1, which would say that the rule was broken."""

import runpy
import sys
import traceback

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except SystemExit:
    raise
except BaseException:  # noqa: BLE001
    traceback.print_exc()
    sys.exit(2)
