#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/10 start, after the build of the deploy file.
# The stand-ins are Python programs, which only have to compile: review/6/scene.py, which all scripts use, and
# review/8/engines.py.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for path in sorted(path for n in range(6, 11) for path in glob.glob(f"{n}/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
