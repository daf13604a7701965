#!/usr/bin/env bash
# Prints a key for one source's lint result: the hash of its preprocessed text, the lint rules and the linter's version.
# Usage: lint-key.sh SOURCE COMPILE_COMMANDS
set -euo pipefail
python3 - "$1" "$2" <<'PY'
import hashlib, json, os, shlex, subprocess, sys
source, commands = sys.argv[1:]
path = os.path.realpath(source)
for entry in json.load(open(commands)):
    if os.path.realpath(entry["file"]) == path:
        words = shlex.split(entry["command"])
        break
else:
    sys.exit(1)
words = [w for w in words if not w.endswith("ccache")]
out = words.index("-o")
del words[out:out + 2]
words = [w for w in words if w != "-c"] + ["-E", "-P"]
text = subprocess.run(words, cwd=entry["directory"], capture_output=True, check=True).stdout
key = hashlib.sha256(text)
key.update(open(source, "rb").read())
key.update(open(".clang-tidy", "rb").read())
key.update(subprocess.run(["clang-tidy", "--version"], capture_output=True).stdout)
print(key.hexdigest())
PY
